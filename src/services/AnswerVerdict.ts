import type { AnswerVerdictKind } from "./AnswerVerdictKind.js";

/** What the head of an upstream's answer stands for. */
export type AnswerVerdict =
    | { readonly kind: AnswerVerdictKind.Answered; }
    | {
        readonly kind: AnswerVerdictKind.Shed;
        /** When to ask again, in milliseconds from now; undefined if the upstream doesn't say. */
        readonly retryAfterMs: number | undefined;
    }
    | { readonly kind: AnswerVerdictKind.Misdirected; }
    | { readonly kind: AnswerVerdictKind.Foreign; readonly detail: string; };
