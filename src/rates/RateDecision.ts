/** Whether a request is inside its account's rate. */
export type RateDecision =
    | { readonly isAdmitted: true; }
    | { readonly isAdmitted: false; readonly retryAfterMs: number; };
