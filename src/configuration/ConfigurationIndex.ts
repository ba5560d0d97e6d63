import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import { BucketMap } from "./BucketMap.js";
import type { ChunkContent } from "./chunks/index.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";
import { ServiceIndex } from "./ServiceIndex.js";

/** An immutable index of all sections' items by name. A new version shares its unchanged parts with the previous one. */
export class ConfigurationIndex {
    readonly #accounts: BucketMap<Account>;
    readonly #keys: BucketMap<AccountKey>;
    readonly #routes: BucketMap<Route>;
    readonly #routesByPath: BucketMap<Route>;
    readonly #services: ServiceIndex;
    #accountList: readonly Account[] | undefined;

    private constructor(
        accounts: BucketMap<Account>,
        keys: BucketMap<AccountKey>,
        routes: BucketMap<Route>,
        routesByPath: BucketMap<Route>,
        services: ServiceIndex,
    ) {
        this.#accounts = accounts;
        this.#keys = keys;
        this.#routes = routes;
        this.#routesByPath = routesByPath;
        this.#services = services;
    }

    /** Creates an empty index. */
    static createEmpty(): ConfigurationIndex {
        return new ConfigurationIndex(
            new BucketMap(),
            new BucketMap(),
            new BucketMap(),
            new BucketMap(),
            new ServiceIndex(),
        );
    }

    /**
     * Gets a client account.
     * @param name - The account's name.
     */
    getAccount(name: string): Account | undefined {
        return this.#accounts.get(name);
    }

    /** Gets all client accounts. */
    getAccounts(): readonly Account[] {
        this.#accountList ??= this.#accounts.getValues();
        return this.#accountList;
    }

    /**
     * Gets a key's record.
     * @param id - The public part of the key.
     */
    getKey(id: string): AccountKey | undefined {
        return this.#keys.get(id);
    }

    /**
     * Gets a route by its name.
     * @param name - The name.
     */
    getRoute(name: string): Route | undefined {
        return this.#routes.get(name);
    }

    /**
     * Gets a route by its path prefix.
     * @param path - The path prefix.
     */
    getRouteByPath(path: string): Route | undefined {
        return this.#routesByPath.get(path);
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
        return this.#services.getAll();
    }

    /**
     * Creates the index of a new version.
     * @param removed - Chunks of the current version that the new version no longer refers to.
     * @param added - Chunks that only the new version refers to.
     */
    createNext(removed: readonly ChunkContent[], added: readonly ChunkContent[]): ConfigurationIndex {
        const oldRoutes = removed.flatMap(content => content.routes ?? []);
        const newRoutes = added.flatMap(content => content.routes ?? []);
        return new ConfigurationIndex(
            this.#accounts.createNext(
                removed.flatMap(content => content.accounts ?? []).map(account => account.name),
                added.flatMap(content => content.accounts ?? []).map(account => [account.name, account]),
            ),
            this.#keys.createNext(
                removed.flatMap(content => content.keys ?? []).map(key => key.id),
                added.flatMap(content => content.keys ?? []).map(key => [key.id, key]),
            ),
            this.#routes.createNext(oldRoutes.map(route => route.name), newRoutes.map(route => [route.name, route])),
            this.#routesByPath.createNext(
                oldRoutes.map(route => route.path),
                newRoutes.map(route => [route.path, route]),
            ),
            this.#services.createNext(removed, added),
        );
    }
}
