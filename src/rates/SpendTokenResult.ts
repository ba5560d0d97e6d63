import type { RateBasis } from "./RateBasis.js";

/** Whether a token was spent. */
export interface SpendTokenResult {
    readonly isSpent: boolean;
    /** When the token that was spent is there, in milliseconds from now; the request waits until then. */
    readonly waitMs: number;
    /** When a token will be there, in milliseconds from now; 0 if one was spent. */
    readonly retryAfterMs: number;
    /** Whether the request is refused for good, since it crashes upstreams. */
    readonly isQuarantined: boolean;
    readonly basis: RateBasis;
}
