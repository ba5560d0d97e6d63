import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** A version of the configuration, indexed for requests. */
export interface Configuration {
    /** The head version that it belongs to; 0 before the first. */
    readonly version: number;
    /**
     * Gets a client account.
     * @param name - The account's name.
     */
    getAccount(name: string): Account | undefined;
    /**
     * Gets a key's record, withdrawn or not.
     * @param id - The public part of the key.
     */
    getKey(id: string): AccountKey | undefined;
    /**
     * Finds the route with the longest path prefix that matches.
     * @param path - The request's path without its query.
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
