import type { Readable } from "node:stream";
import type { HeaderFields } from "../outcomes/index.js";
import type { AttemptKind } from "./AttemptKind.js";

/** What came of one attempt of a caller. */
export type Attempt =
    | {
        readonly kind: AttemptKind.Answered;
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    }
    | { readonly kind: AttemptKind.NotOpened; }
    | { readonly kind: AttemptKind.Lost; readonly detail: string; };
