import type { ClaimState } from "./ClaimState.js";
import type { OrderHolder } from "./OrderHolder.js";

/** The answer to a claim of a plain key, or to a query for its holder. */
export type ClaimAnswer =
    | { readonly state: ClaimState.Granted; }
    | { readonly state: ClaimState.Taken; readonly holder: OrderHolder; }
    | { readonly state: ClaimState.Unavailable; };
