import type { Section } from "./Section.js";

/**
 * Creates a copy of a section with its items sorted by name, for operators.
 * @param section - The section.
 */
export function createSortedSection(section: Section): Section {
    const { owners, accounts, keys, routes, services } = section;
    return {
        owners,
        ...(accounts && { accounts: createSortedList(accounts, account => account.name) }),
        ...(keys && { keys: createSortedList(keys, key => key.id) }),
        ...(routes && { routes: createSortedList(routes, route => route.name) }),
        ...(services && {
            services: createSortedList(services, service => service.name).map(service => ({
                ...service,
                upstreams: createSortedList(service.upstreams, upstream => upstream.name),
            })),
        }),
    };
}

function createSortedList<T>(items: readonly T[], getName: (item: T) => string): T[] {
    return [...items].sort((left, right) => getName(left) < getName(right) ? -1 : 1);
}
