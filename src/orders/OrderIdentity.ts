import type { OrderHolder } from "./OrderHolder.js";

/** Names an order and what it asks for. */
export interface OrderIdentity {
    readonly account: string;
    readonly key: string;
    /** Digest of what the order asks for. */
    readonly fingerprint: string;
    /** The incarnation under whose name it may be dispatched. */
    readonly holder: OrderHolder;
    /** Names the claim of a plain key in the store. */
    readonly claimId?: string;
}
