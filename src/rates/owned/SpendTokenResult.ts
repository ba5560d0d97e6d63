import type { RateBasis } from "../RateBasis.js";

/** Result of the call that spends a token. */
export interface SpendTokenResult {
    readonly isSpent: boolean;
    /** Time until the spent token becomes available, in milliseconds; the request waits that long. */
    readonly waitMs: number;
    /** Time until a token becomes available, in milliseconds; 0 if one was spent. */
    readonly retryAfterMs: number;
    /** Whether the request is always refused, because it crashes upstreams. */
    readonly isQuarantined: boolean;
    readonly basis: RateBasis;
    /** False if the host that was asked holds no share of the account's rate, so that its refusal says nothing about it. */
    readonly isOwner?: false;
}
