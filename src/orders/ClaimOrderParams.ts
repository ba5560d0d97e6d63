import type { OrderHolder } from "./OrderHolder.js";

/** Claims a plain key through the host that writes its bucket, or asks who holds it. */
export interface ClaimOrderParams {
    readonly bucket: number;
    /** Digest of account and key. */
    readonly digest: string;
    /** The claim's own id; undefined to ask only. */
    readonly claimId?: string;
    readonly holder: OrderHolder;
}
