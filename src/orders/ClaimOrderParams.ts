import type { OrderHolder } from "./OrderHolder.js";

/** A claim of a plain key, or a query for its holder, sent to the host that writes the key's bucket. */
export interface ClaimOrderParams {
    readonly bucket: number;
    /** Digest of the account's name and the key. */
    readonly digest: string;
    /** The claim's unique id; undefined for a query. */
    readonly claimId?: string;
    readonly holder: OrderHolder;
}
