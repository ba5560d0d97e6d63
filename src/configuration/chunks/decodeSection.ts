import type { Section } from "../Section.js";
import type { Service } from "../Service.js";
import type { Upstream } from "../Upstream.js";
import type { ChunkContent } from "./ChunkContent.js";

/**
 * Decodes a section from the contents of its chunks. Items are in the order of the chunks, upstreams sorted by name.
 * @param owners - The section's owners.
 * @param contents - The contents of the section's chunks.
 */
export function decodeSection(owners: readonly string[], contents: readonly ChunkContent[]): Section {
    const accounts = contents.flatMap(content => content.accounts ?? []);
    const keys = contents.flatMap(content => content.keys ?? []);
    const routes = contents.flatMap(content => content.routes ?? []);
    const services = decodeServices(contents);
    return {
        owners,
        ...(accounts.length > 0 ? { accounts } : {}),
        ...(keys.length > 0 ? { keys } : {}),
        ...(routes.length > 0 ? { routes } : {}),
        ...(services.length > 0 ? { services } : {}),
    };
}

function decodeServices(contents: readonly ChunkContent[]): Service[] {
    const upstreams = new Map<string, Upstream[]>();
    for (const { service, upstream } of contents.flatMap(content => content.upstreams ?? [])) {
        const list = upstreams.get(service) ?? [];
        list.push(upstream);
        upstreams.set(service, list);
    }
    upstreams.forEach(list => list.sort((left, right) => left.name < right.name ? -1 : 1));
    const settings = contents.flatMap(content => content.services ?? []);
    return settings.map(({ name, ...rest }) => ({ name, upstreams: upstreams.get(name) ?? [], ...rest }));
}
