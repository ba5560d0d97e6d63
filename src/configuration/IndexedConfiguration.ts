import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import { createSectionTree } from "./chunks/index.js";
import type { Configuration } from "./Configuration.js";
import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import { ConfigurationIndex } from "./ConfigurationIndex.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** One version of the configuration with an index for each kind of item. */
export class IndexedConfiguration implements Configuration {
    readonly version: number;
    readonly #index: ConfigurationIndex;

    /**
     * @param version - The version of its head.
     * @param content - A checked document, or its index.
     */
    constructor(version: number, content: ConfigurationDocument | ConfigurationIndex) {
        this.version = version;
        this.#index = content instanceof ConfigurationIndex ? content : createIndex(content);
    }

    /**
     * Gets a client account.
     * @param name - The account's name.
     */
    getAccount(name: string): Account | undefined {
        return this.#index.getAccount(name);
    }

    /**
     * Gets the record of a key, whether withdrawn or not.
     * @param id - The public part of the key.
     */
    getKey(id: string): AccountKey | undefined {
        return this.#index.getKey(id);
    }

    /**
     * Gets a route.
     * @param name - The route's name.
     */
    getRoute(name: string): Route | undefined {
        return this.#index.getRoute(name);
    }

    /**
     * Finds the route with the longest matching path prefix.
     * @param path - The request's path without the query string.
     */
    findRoute(path: string): Route | undefined {
        let prefix = path;
        while (prefix.length > 1) {
            const route = this.#index.getRouteByPath(prefix);
            if (route !== undefined) {
                return route;
            }
            prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf("/")));
        }
        return path.startsWith("/") ? this.#index.getRouteByPath("/") : undefined;
    }

    /**
     * Gets a service.
     * @param name - The service's name.
     */
    getService(name: string): Service | undefined {
        return this.#index.getService(name);
    }

    /** Gets all services. */
    getServices(): readonly Service[] {
        return this.#index.getServices();
    }

    /** Gets all client accounts. */
    getAccounts(): readonly Account[] {
        return this.#index.getAccounts();
    }
}

function createIndex(document: ConfigurationDocument): ConfigurationIndex {
    const trees = Object.values(document.sections).map(createSectionTree);
    const contents = trees.flatMap(tree => tree.leaves.map(leaf => leaf.content));
    return ConfigurationIndex.createEmpty().createNext([], contents);
}
