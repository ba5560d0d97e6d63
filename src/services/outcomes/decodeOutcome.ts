import { Readable } from "node:stream";
import { TruncatedAnswerError } from "../../errors/index.js";
import type { Outcome } from "../../outcomes/index.js";
import { createOutcome, OutcomeKind } from "../../outcomes/index.js";
import type { EncodedOutcome } from "./EncodedOutcome.js";

/**
 * Decodes a stored outcome; a body that was not stored fails as truncated when it is read.
 * @param encoded - The stored outcome.
 */
export function decodeOutcome(encoded: EncodedOutcome): Outcome {
    switch (encoded.kind) {
        case OutcomeKind.Done:
            return createOutcome(
                { kind: encoded.kind, status: encoded.status, headers: encoded.headers },
                decodeBody(encoded.body),
            );
        case OutcomeKind.NotRun: {
            const { kind, reason, detail, retryAfterMs } = encoded;
            return { kind, reason, detail, retryAfterMs };
        }
        case OutcomeKind.Unknown:
            return { kind: encoded.kind, reason: encoded.reason, detail: encoded.detail };
    }
}

function decodeBody(body: string | undefined): Readable {
    if (body !== undefined) {
        return Readable.from([Buffer.from(body, "base64")], { objectMode: false });
    }
    const truncated = new Readable({
        read: () => {
            truncated.destroy(new TruncatedAnswerError("The answer's body was too large to keep."));
        },
    });
    return truncated;
}
