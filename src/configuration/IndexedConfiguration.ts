import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import type { Configuration } from "./Configuration.js";
import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import type { Route } from "./Route.js";
import type { Section } from "./Section.js";
import type { Service } from "./Service.js";

/** A version of the configuration with an index for each kind of item. */
export class IndexedConfiguration implements Configuration {
    readonly version: number;
    readonly #accounts = new Map<string, Account>();
    readonly #keys = new Map<string, AccountKey>();
    readonly #routes = new Map<string, Route>();
    readonly #routesByPath = new Map<string, Route>();
    readonly #services = new Map<string, Service>();

    /**
     * @param version - The head version that it belongs to.
     * @param document - A checked document.
     */
    constructor(version: number, document: ConfigurationDocument) {
        this.version = version;
        for (const section of Object.values(document.sections)) {
            this.#addSection(section);
        }
    }

    /**
     * Gets a client account.
     * @param name - The account's name.
     */
    getAccount(name: string): Account | undefined {
        return this.#accounts.get(name);
    }

    /**
     * Gets a key's record, withdrawn or not.
     * @param id - The public part of the key.
     */
    getKey(id: string): AccountKey | undefined {
        return this.#keys.get(id);
    }

    /**
     * Gets a route.
     * @param name - The route's name.
     */
    getRoute(name: string): Route | undefined {
        return this.#routes.get(name);
    }

    /**
     * Finds the route with the longest path prefix that matches.
     * @param path - The request's path without its query.
     */
    findRoute(path: string): Route | undefined {
        let prefix = path;
        while (prefix.length > 1) {
            const route = this.#routesByPath.get(prefix);
            if (route !== undefined) {
                return route;
            }
            prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf("/")));
        }
        return path.startsWith("/") ? this.#routesByPath.get("/") : undefined;
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
        return [...this.#services.values()];
    }

    /** Gets all client accounts. */
    getAccounts(): readonly Account[] {
        return [...this.#accounts.values()];
    }

    #addSection(section: Section): void {
        section.accounts?.forEach(account => this.#accounts.set(account.name, account));
        section.keys?.forEach(key => this.#keys.set(key.id, key));
        section.routes?.forEach(route => this.#addRoute(route));
        section.services?.forEach(service => this.#services.set(service.name, service));
    }

    #addRoute(route: Route): void {
        this.#routes.set(route.name, route);
        this.#routesByPath.set(route.path, route);
    }
}
