import type { ChunkContent, ServiceSettings } from "./chunks/index.js";
import type { Service } from "./Service.js";
import type { Upstream } from "./Upstream.js";

/** An immutable index of the services with their upstreams. A new version shares the unchanged services. */
export class ServiceIndex {
    readonly #services: ReadonlyMap<string, Service>;
    #list: readonly Service[] | undefined;

    /** @param services - The services by name; empty by default. */
    constructor(services: ReadonlyMap<string, Service> = new Map()) {
        this.#services = services;
    }

    /**
     * Gets a service.
     * @param name - The service's name.
     */
    get(name: string): Service | undefined {
        return this.#services.get(name);
    }

    /** Gets all services. */
    getAll(): readonly Service[] {
        this.#list ??= [...this.#services.values()];
        return this.#list;
    }

    /**
     * Creates the index of a new version.
     * @param removed - Chunks of the current version that the new version no longer refers to.
     * @param added - Chunks that only the new version refers to.
     */
    createNext(removed: readonly ChunkContent[], added: readonly ChunkContent[]): ServiceIndex {
        const changedNames = findServices([...removed, ...added]);
        if (changedNames.size === 0) {
            return this;
        }
        const settings = createSettings(this.#services, changedNames, removed, added);
        const upstreams = createUpstreams(this.#services, changedNames, removed, added);
        const services = new Map(this.#services);
        for (const name of changedNames) {
            const current = settings.get(name);
            if (current === undefined) {
                services.delete(name);
                continue;
            }
            const list = [...upstreams.get(name)!.values()].sort((left, right) => left.name < right.name ? -1 : 1);
            services.set(name, { ...current, upstreams: list });
        }
        return new ServiceIndex(services);
    }
}

function findServices(contents: readonly ChunkContent[]): Set<string> {
    const names = new Set<string>();
    for (const content of contents) {
        content.services?.forEach(service => names.add(service.name));
        content.upstreams?.forEach(item => names.add(item.service));
    }
    return names;
}

function createSettings(
    services: ReadonlyMap<string, Service>,
    changedNames: ReadonlySet<string>,
    removed: readonly ChunkContent[],
    added: readonly ChunkContent[],
): Map<string, ServiceSettings> {
    const settings = new Map<string, ServiceSettings>();
    for (const name of changedNames) {
        const current = services.get(name);
        if (current !== undefined) {
            settings.set(name, current);
        }
    }
    removed.forEach(content => content.services?.forEach(service => settings.delete(service.name)));
    added.forEach(content => content.services?.forEach(service => settings.set(service.name, service)));
    return settings;
}

function createUpstreams(
    services: ReadonlyMap<string, Service>,
    changedNames: ReadonlySet<string>,
    removed: readonly ChunkContent[],
    added: readonly ChunkContent[],
): Map<string, Map<string, Upstream>> {
    const upstreams = new Map<string, Map<string, Upstream>>();
    for (const name of changedNames) {
        const current = services.get(name)?.upstreams ?? [];
        upstreams.set(name, new Map(current.map(upstream => [upstream.name, upstream])));
    }
    const applyToUpstreams = (
        contents: readonly ChunkContent[],
        change: (list: Map<string, Upstream>, item: Upstream) => void,
    ) => contents.forEach(content =>
        content.upstreams?.forEach(item => change(upstreams.get(item.service)!, item.upstream))
    );
    applyToUpstreams(removed, (list, upstream) => list.delete(upstream.name));
    applyToUpstreams(added, (list, upstream) => list.set(upstream.name, upstream));
    return upstreams;
}
