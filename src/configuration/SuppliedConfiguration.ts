import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import type { CallerLimits } from "./CallerLimits.js";
import type { Configuration } from "./Configuration.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";
import type { SuppliedContent } from "./SuppliedContent.js";

/** One version of a configuration that an external control plane writes as a whole. */
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

    /** Gets the size and time limits for the requests of callers. */
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
     * Finds the client account that a key belongs to.
     * @param key - The complete key.
     */
    findAccountByKey(key: string): Account | undefined {
        const name = this.#content.accountsByKey.get(key);
        return name === undefined ? undefined : this.#accounts.get(name);
    }

    /** Always undefined, because external keys have no public part to look them up by. */
    getKey(): AccountKey | undefined {
        return undefined;
    }

    /**
     * Finds the route of a host name with the longest matching path prefix.
     * @param path - The request's path without the query string.
     * @param host - The requested host name.
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

/** Groups the routes by host name, the longest path prefix first. */
function createRoutesByHost(routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> {
    const routesByHost = new Map<string, Route[]>();
    for (const route of routes) {
        const host = (route.host ?? "").toLowerCase();
        routesByHost.set(host, [...routesByHost.get(host) ?? [], route]);
    }
    routesByHost.forEach(list => list.sort((left, right) => right.path.length - left.path.length));
    return routesByHost;
}
