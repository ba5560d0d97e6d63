import type { AnswerCheckKind } from "./AnswerCheckKind.js";

/** How a protocol classifies the head of an upstream's response. */
export type AnswerCheckResult =
    | { readonly kind: AnswerCheckKind.Answered; }
    | {
        readonly kind: AnswerCheckKind.Shed;
        /** The time until a retry may succeed, in milliseconds; undefined if the upstream gives none. */
        readonly retryAfterMs: number | undefined;
    }
    | { readonly kind: AnswerCheckKind.Misdirected; }
    | { readonly kind: AnswerCheckKind.Mismatched; readonly detail: string; };
