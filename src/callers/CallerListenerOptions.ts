import type { Outcome } from "../outcomes/index.js";
import type { AddressLookup } from "./AddressLookup.js";
import type { CallerRequestHandler } from "./CallerRequestHandler.js";

/** What an entry host answers callers with. */
export interface CallerListenerOptions {
    readonly requestHandler: CallerRequestHandler;
    readonly lookup: AddressLookup;
    /**
     * Finds the outcome of an order.
     * @param account - The client account's name.
     * @param idempotencyKey - The order's key.
     */
    readonly findOrder: (account: string, idempotencyKey: string) => Promise<Outcome>;
    /**
     * Records how long a request took.
     * @param outcome - What became of it.
     * @param durationMs - Until the first byte of the answer, in milliseconds.
     */
    readonly recordDuration: (outcome: Outcome, durationMs: number) => void;
    /** Gets the monotonic time in milliseconds. */
    readonly getTime: () => number;
}
