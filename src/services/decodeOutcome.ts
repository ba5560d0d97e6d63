import { Readable } from "node:stream";
import { TruncatedAnswerError } from "../errors/index.js";
import type { Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { EncodedOutcome } from "./EncodedOutcome.js";

/**
 * Turns a kept outcome back into one that can be passed on; a body that was not kept is passed on as a cut.
 * @param kept - The kept outcome.
 */
export function decodeOutcome(kept: EncodedOutcome): Outcome {
    switch (kept.kind) {
        case OutcomeKind.Done:
            return { kind: kept.kind, status: kept.status, headers: kept.headers, body: decodeBody(kept.body) };
        case OutcomeKind.NotRun: {
            const { kind, reason, detail, retryAfterMs } = kept;
            return { kind, reason, detail, retryAfterMs };
        }
        case OutcomeKind.Unknown:
            return { kind: kept.kind, reason: kept.reason, detail: kept.detail };
    }
}

function decodeBody(body: string | undefined): Readable {
    if (body !== undefined) {
        return Readable.from([Buffer.from(body, "base64")], { objectMode: false });
    }
    const cut = new Readable({
        read: () => {
            cut.destroy(new TruncatedAnswerError("The answer's body was too large to keep."));
        },
    });
    return cut;
}
