import type { ChunkContent, ServiceSettings } from "./chunks/index.js";
import type { Service } from "./Service.js";
import type { Upstream } from "./Upstream.js";

/** The services with their upstreams. It never changes; a new version shares the services that are the same. */
export class ServiceIndex {
    readonly #services: ReadonlyMap<string, Service>;
    #list: readonly Service[] | undefined;

    /** @param services - The services by name; none if left out. */
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
     * @param removed - The chunks that the new version no longer refers to.
     * @param added - The chunks that it refers to in addition.
     */
    createNext(removed: readonly ChunkContent[], added: readonly ChunkContent[]): ServiceIndex {
        const touched = findServices([...removed, ...added]);
        if (touched.size === 0) {
            return this;
        }
        const settings = createSettings(this.#services, touched, removed, added);
        const upstreams = createUpstreams(this.#services, touched, removed, added);
        const services = new Map(this.#services);
        for (const name of touched) {
            const known = settings.get(name);
            if (known === undefined) {
                services.delete(name);
                continue;
            }
            const list = [...upstreams.get(name)!.values()].sort((left, right) => left.name < right.name ? -1 : 1);
            services.set(name, { ...known, upstreams: list });
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
    touched: ReadonlySet<string>,
    removed: readonly ChunkContent[],
    added: readonly ChunkContent[],
): Map<string, ServiceSettings> {
    const settings = new Map<string, ServiceSettings>();
    for (const name of touched) {
        const known = services.get(name);
        if (known !== undefined) {
            settings.set(name, known);
        }
    }
    removed.forEach(content => content.services?.forEach(service => settings.delete(service.name)));
    added.forEach(content => content.services?.forEach(service => settings.set(service.name, service)));
    return settings;
}

function createUpstreams(
    services: ReadonlyMap<string, Service>,
    touched: ReadonlySet<string>,
    removed: readonly ChunkContent[],
    added: readonly ChunkContent[],
): Map<string, Map<string, Upstream>> {
    const upstreams = new Map<string, Map<string, Upstream>>();
    for (const name of touched) {
        const known = services.get(name)?.upstreams ?? [];
        upstreams.set(name, new Map(known.map(upstream => [upstream.name, upstream])));
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
