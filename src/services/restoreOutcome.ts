import { Readable } from "node:stream";
import { TruncatedAnswerError } from "../errors/index.js";
import type { Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { KeptOutcome } from "./KeptOutcome.js";

/**
 * Turns a kept outcome back into one that can be passed on; a body that was not kept is passed on as a cut.
 * @param kept - The kept outcome.
 */
export function restoreOutcome(kept: KeptOutcome): Outcome {
    switch (kept.kind) {
        case OutcomeKind.Done:
            return { kind: kept.kind, status: kept.status, headers: kept.headers, body: createBody(kept.body) };
        case OutcomeKind.NotRun: {
            const { kind, reason, detail, retryAfterMs } = kept;
            return { kind, reason, detail, retryAfterMs };
        }
        case OutcomeKind.Unknown:
            return { kind: kept.kind, reason: kept.reason, detail: kept.detail };
    }
}

function createBody(body: string | undefined): Readable {
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
