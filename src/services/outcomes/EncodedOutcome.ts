import type { FinalStatus, HeaderFields, OutcomeKind, RefusalReason, UnknownReason } from "../../outcomes/index.js";

/** An outcome as JSON values, for storage. */
export type EncodedOutcome =
    | {
        readonly kind: OutcomeKind.Done;
        readonly status: FinalStatus;
        readonly headers: HeaderFields;
        /** The body in base64; undefined if it was too large to store or was truncated. */
        readonly body?: string;
    }
    | {
        readonly kind: OutcomeKind.NotRun;
        readonly reason: RefusalReason;
        readonly detail: string;
        readonly retryAfterMs?: number;
    }
    | { readonly kind: OutcomeKind.Unknown; readonly reason: UnknownReason | RefusalReason; readonly detail: string; };
