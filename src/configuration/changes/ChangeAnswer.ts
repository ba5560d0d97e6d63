import type { Finding } from "../../errors/index.js";
import type { ChangeAnswerKind } from "./ChangeAnswerKind.js";

/** The answer to a submitted change. */
export type ChangeAnswer =
    | { readonly kind: ChangeAnswerKind.Accepted; readonly version: number; }
    | { readonly kind: ChangeAnswerKind.Refused; readonly findings: readonly Finding[]; }
    | { readonly kind: ChangeAnswerKind.Unconfirmed; readonly version: number; }
    | {
        readonly kind: ChangeAnswerKind.Unavailable;
        readonly detail: string;
        /** Whether this attempt may have been applied. */
        readonly isOutcomeUnknown: boolean;
    };
