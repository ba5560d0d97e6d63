import type { Readable } from "node:stream";
import type { FinalStatus, HeaderFields } from "../../outcomes/index.js";
import type { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
import type { UpstreamNotice } from "./UpstreamNotice.js";

/** The result of an attempt: a response, or why there is none. */
export type UpstreamAnswer =
    | {
        readonly kind: UpstreamAnswerKind.Answered;
        readonly status: FinalStatus;
        readonly headers: HeaderFields;
        readonly body: Readable;
        readonly notice?: UpstreamNotice;
    }
    | { readonly kind: UpstreamAnswerKind.ConnectFailed; readonly detail: string; }
    | { readonly kind: UpstreamAnswerKind.NotSendable; readonly detail: string; }
    | {
        readonly kind: UpstreamAnswerKind.Shed;
        readonly retryAfterMs: number | undefined;
        readonly notice?: UpstreamNotice;
    }
    | { readonly kind: UpstreamAnswerKind.TimedOut; }
    | { readonly kind: UpstreamAnswerKind.Superseded; }
    | { readonly kind: UpstreamAnswerKind.ConnectionLost; readonly detail: string; }
    | { readonly kind: UpstreamAnswerKind.Invalid; readonly detail: string; }
    | { readonly kind: UpstreamAnswerKind.Aborted; };
