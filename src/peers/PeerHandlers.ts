import { FuchsiapathError } from "../errors/index.js";
import type { PeerHandler } from "./PeerHandler.js";
import type { PeerMethod } from "./PeerMethod.js";
import type { PeerMethods } from "./PeerMethods.js";

/** The handlers of an entry host for calls from other entry hosts, by method. */
export class PeerHandlers {
    readonly #handlers = new Map<PeerMethod, (params: unknown) => unknown>();

    /**
     * Adds the handler of a method; each method has one.
     * @param method - The method.
     * @param handler - The handler.
     */
    add<M extends PeerMethod>(method: M, handler: PeerHandler<M>): void {
        if (this.#handlers.has(method)) {
            throw new FuchsiapathError(`A handler of ${method} has been added already.`);
        }
        this.#handlers.set(method, handler as (params: unknown) => unknown);
    }

    /**
     * Runs the handler of a method.
     * @param method - The method.
     * @param params - Its parameters.
     */
    async run<M extends PeerMethod>(method: M, params: PeerMethods[M]["params"]): Promise<PeerMethods[M]["result"]> {
        const handler = this.#handlers.get(method);
        if (handler === undefined) {
            throw new FuchsiapathError(`There is no handler of ${method}.`);
        }
        return await handler(params) as PeerMethods[M]["result"];
    }

    /** Gets the methods that have a handler. */
    getMethods(): readonly PeerMethod[] {
        return [...this.#handlers.keys()];
    }
}
