import type { RateGrant } from "./RateGrant.js";

/** Whether a request is inside its account's rate. */
export type RateDecision =
    | { readonly isAdmitted: true; readonly grant: RateGrant; }
    | { readonly isAdmitted: false; readonly retryAfterMs: number; readonly isQuarantined?: boolean; };
