import type { OrderHolder } from "./OrderHolder.js";

/** Identifies an order and its content. */
export interface OrderIdentity {
    /** The account's name; undefined for a caller without an API key. */
    readonly account?: string | undefined;
    readonly key: string;
    /** Digest of account, method, path and body. */
    readonly fingerprint: string;
    /** The only incarnation that may dispatch the order. */
    readonly holder: OrderHolder;
    /** Id of the claim of a plain key in the store. */
    readonly claimId?: string;
}
