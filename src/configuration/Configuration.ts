import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** One version of the configuration, indexed for lookups by requests. */
export interface Configuration {
    /** The version of its head; 0 before the first one. */
    readonly version: number;
    /**
     * Gets a client account.
     * @param name - The account's name.
     */
    getAccount(name: string): Account | undefined;
    /**
     * Gets the record of a key, whether withdrawn or not.
     * @param id - The public part of the key.
     */
    getKey(id: string): AccountKey | undefined;
    /**
     * Finds the route with the longest matching path prefix.
     * @param path - The request's path without the query string.
     */
    findRoute(path: string): Route | undefined;
    /**
     * Gets a route.
     * @param name - The route's name.
     */
    getRoute(name: string): Route | undefined;
    /**
     * Gets a service.
     * @param name - The service's name.
     */
    getService(name: string): Service | undefined;
    /** Gets all services. */
    getServices(): readonly Service[];
    /** Gets all client accounts. */
    getAccounts(): readonly Account[];
}
