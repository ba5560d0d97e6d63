import type { CauseKind } from "./CauseKind.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** Why a request ended as it did, with the lines that show it. */
export interface Cause {
    readonly kind: CauseKind;
    /** One sentence. */
    readonly summary: string;
    /** The lines besides the request's own that it rests on. */
    readonly evidence: readonly LoggedDecision[];
}
