import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import type { CallerLimits } from "./CallerLimits.js";
import type { Configuration } from "./Configuration.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";
import type { SuppliedContent } from "./SuppliedContent.js";

/** A version of a configuration that is written whole outside the product. */
export class SuppliedConfiguration implements Configuration {
    readonly version: number;
    readonly #content: SuppliedContent;
    readonly #accounts: ReadonlyMap<string, Account>;
    readonly #routes: ReadonlyMap<string, Route>;
    readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly #services: ReadonlyMap<string, Service>;

    /** @param content - The configuration's items. */
    constructor(content: SuppliedContent) {
        this.version = content.version;
        this.#content = content;
        this.#accounts = new Map(content.accounts.map(account => [account.name, account]));
        this.#routes = new Map(content.routes.map(route => [route.name, route]));
        this.#routesByHost = createRoutesByHost(content.routes);
        this.#services = new Map(content.services.map(service => [service.name, service]));
    }

    /** Gets what a caller may send and how long it may take. */
    getLimits(): CallerLimits {
        return this.#content.limits;
    }

    /**
     * Gets a client account.
     * @param name - The account's name.
     */
    getAccount(name: string): Account | undefined {
        return this.#accounts.get(name);
    }

    /**
     * Finds the client account that holds a key.
     * @param key - The whole key.
     */
    findAccountByKey(key: string): Account | undefined {
        const name = this.#content.accountsByKey.get(key);
        return name === undefined ? undefined : this.#accounts.get(name);
    }

    /** Gets no record, as these keys have no public part. */
    getKey(): AccountKey | undefined {
        return undefined;
    }

    /**
     * Finds the route with the longest path prefix that matches.
     * @param path - The request's path without its query.
     * @param host - The host name that the caller asked for.
     */
    findRoute(path: string, host = ""): Route | undefined {
        return this.#routesByHost.get(host.toLowerCase())?.find(route => path.startsWith(route.path));
    }

    /**
     * Gets a route.
     * @param name - The route's name.
     */
    getRoute(name: string): Route | undefined {
        return this.#routes.get(name);
    }

    /**
     * Gets a service.
     * @param name - The service's name.
     */
    getService(name: string): Service | undefined {
        return this.#services.get(name);
    }

    /** Gets all services. */
    getServices(): readonly Service[] {
        return this.#content.services;
    }

    /** Gets all client accounts. */
    getAccounts(): readonly Account[] {
        return this.#content.accounts;
    }
}

/** The routes of each host, the longest prefix first. */
function createRoutesByHost(routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> {
    const routesByHost = new Map<string, Route[]>();
    for (const route of routes) {
        const host = (route.host ?? "").toLowerCase();
        routesByHost.set(host, [...routesByHost.get(host) ?? [], route]);
    }
    routesByHost.forEach(list => list.sort((left, right) => right.path.length - left.path.length));
    return routesByHost;
}
