import type { RateBasis } from "./RateBasis.js";
import type { RateGrant } from "./RateGrant.js";

/** Whether a request is within its account's rate, and how long it has to wait for its token, in milliseconds. */
export type RateDecision =
    | { readonly isAdmitted: true; readonly grant: RateGrant; readonly waitMs?: number; }
    | {
        readonly isAdmitted: false;
        readonly retryAfterMs: number;
        readonly isQuarantined?: boolean;
        /** Undefined with rate policies that have no owners. */
        readonly basis?: RateBasis;
    };
