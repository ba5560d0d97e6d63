import type { OutcomeKind } from "../outcomes/index.js";

/** What a caller made of one request in the end. */
export interface CallResult {
    readonly load: string;
    readonly account: string;
    /** Stands in the path of each attempt. */
    readonly reference: string;
    readonly isOrder: boolean;
    /** Whether an earlier attempt ended without a known outcome; a lookup's refusal speaks of the last attempt only. */
    readonly hasOpenAttempt: boolean;
    readonly kind: OutcomeKind;
    /** The reason of a refusal, or of an unknown outcome. */
    readonly reason: string;
}
