import type { FailureReason } from "./FailureReason.js";
import type { RequestKind } from "./RequestKind.js";
import type { ResultKind } from "./ResultKind.js";

/** The result of one of a caller's requests, over all its attempts. */
export interface RequestResult {
    readonly account: string;
    readonly requestKind: RequestKind;
    /** Names the caller's intent; a repeated order has the same. */
    readonly reference: string;
    /** Whether it repeated an order that had been answered. */
    readonly isRepeated: boolean;
    readonly kind: ResultKind;
    /** Why, unless it is done. */
    readonly reason: FailureReason | string | undefined;
    readonly status: number | undefined;
    /** Whether the answer belonged to another request. */
    readonly isWrong: boolean;
    readonly attempts: number;
    /** What the system called the last attempt in its answer. */
    readonly requestId: string | undefined;
    /** Whether an attempt before the last may have been run. */
    readonly mayHaveRunBefore: boolean;
    /** Milliseconds since the Unix epoch. */
    readonly startedAt: number;
    /** From when it was due to its end, in milliseconds. */
    readonly durationMs: number;
}
