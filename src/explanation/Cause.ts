import type { CauseKind } from "./CauseKind.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** Why a request ended as it did, with the log lines that show it. */
export interface Cause {
    readonly kind: CauseKind;
    /** The cause in one sentence. */
    readonly summary: string;
    /** The log lines on other subjects than the request from which the cause was derived. */
    readonly evidence: readonly LoggedDecision[];
}
