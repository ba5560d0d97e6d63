import type { EntryAddress } from "./EntryAddress.js";

/** Where the attempt of a request goes. */
export interface OrderRoute {
    readonly address: EntryAddress;
    /** The Idempotency-Key, if the request is an order. */
    readonly key: string;
}
