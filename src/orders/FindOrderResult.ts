import type { EncodedOutcome } from "../services/index.js";

/** The answer to a query for an incarnation's orders. */
export interface FindOrderResult {
    readonly isHolder: boolean;
    /** The requested order's outcome. */
    readonly outcome?: EncodedOutcome;
}
