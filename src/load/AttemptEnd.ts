import type { AttemptEndKind } from "./AttemptEndKind.js";
import type { FailureReason } from "./FailureReason.js";
import type { ResultKind } from "./ResultKind.js";

/** What an attempt means for its request, and the result if it was the last. */
export interface AttemptEnd {
    readonly kind: AttemptEndKind;
    readonly result: ResultKind;
    readonly reason?: FailureReason | string;
    readonly status?: number;
    readonly isWrong?: boolean;
    /** What the system calls the request in its answer. */
    readonly requestId?: string | undefined;
}
