import type { AnswerCheckKind } from "./AnswerCheckKind.js";

/** How a protocol classifies the head of an upstream's response. */
export type AnswerCheckResult =
    | { readonly kind: AnswerCheckKind.Answered; }
    | {
        readonly kind: AnswerCheckKind.Shed;
        /** When to ask again, in milliseconds from now; undefined if the upstream doesn't say. */
        readonly retryAfterMs: number | undefined;
    }
    | { readonly kind: AnswerCheckKind.Misdirected; }
    | { readonly kind: AnswerCheckKind.Mismatched; readonly detail: string; };
