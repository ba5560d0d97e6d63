import { RouteKind } from "../configuration/index.js";
import type { Configuration } from "../configuration/index.js";
import { FuchsiapathError } from "../errors/index.js";
import type { ActiveRequest } from "./ActiveRequest.js";

/** The requests in progress on this entry host. */
export class ActiveRequests {
    readonly #requests = new Set<ActiveRequest>();
    readonly #idleListeners: (() => void)[] = [];

    /** Gets the number of requests in progress. */
    getCount(): number {
        return this.#requests.size;
    }

    /**
     * Adds a request.
     * @param request - The request.
     */
    add(request: ActiveRequest): void {
        this.#requests.add(request);
    }

    /**
     * Removes a request that has been answered.
     * @param request - The request.
     */
    remove(request: ActiveRequest): void {
        this.#requests.delete(request);
        if (this.#requests.size === 0) {
            this.#idleListeners.splice(0).forEach(listener => listener());
        }
    }

    /** Waits until no request is in progress. */
    async waitForIdle(): Promise<void> {
        if (this.#requests.size > 0) {
            await new Promise<void>(resolve => this.#idleListeners.push(resolve));
        }
    }

    /**
     * Cancels requests whose key is no longer valid, except orders, since an upstream may already have executed them.
     * @param configuration - The current configuration.
     */
    cancelRequestsWithInvalidKeys(configuration: Configuration): void {
        for (const request of this.#requests) {
            if (request.kind !== RouteKind.Order && !this.#hasValidKey(request, configuration)) {
                request.controller.abort(new FuchsiapathError("The key was withdrawn."));
            }
        }
    }

    #hasValidKey(request: ActiveRequest, configuration: Configuration): boolean {
        if (request.keyId === undefined) {
            return true;
        }
        const key = configuration.getKey(request.keyId);
        return key !== undefined && key.withdrawn !== true;
    }
}
