import type { Outcome } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { AddressLookup } from "./AddressLookup.js";
import type { CallerRequestHandler } from "./CallerRequestHandler.js";

/** The handlers of an entry host's caller listener. */
export interface CallerListenerOptions {
    readonly requestHandler: CallerRequestHandler;
    readonly lookup: AddressLookup;
    /**
     * Finds the outcome of an order.
     * @param account - The client account's name.
     * @param idempotencyKey - The order's idempotency key.
     */
    readonly findOrder: (account: string, idempotencyKey: string) => Promise<Outcome>;
    /**
     * Records the outcome and duration of a request.
     * @param outcome - The outcome.
     * @param durationMs - Time to the first byte of the answer, in milliseconds.
     */
    readonly recordDuration: (outcome: Outcome, durationMs: number) => void;
    readonly clock: Clock;
}
