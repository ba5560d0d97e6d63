import type { EncodedOutcome } from "../services/index.js";

/** Whether the answering host holds an incarnation's orders. */
export interface FindOrderResult {
    readonly isHolder: boolean;
    /** The outcome of the order that was asked for. */
    readonly outcome?: EncodedOutcome;
}
