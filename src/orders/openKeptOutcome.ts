import { Readable } from "node:stream";
import type { HeaderFields, Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { KeptOutcome } from "../services/index.js";
import { restoreOutcome } from "../services/index.js";

const BODY_STATE_HEADER = "fuchsiapath-body";
const BODY_NOT_KEPT = "not-kept";

/**
 * Opens a kept outcome for a resend; an answer whose body was not kept comes without it and says so.
 * @param kept - The kept outcome.
 */
export function openKeptOutcome(kept: KeptOutcome): Outcome {
    if (kept.kind !== OutcomeKind.Done || kept.body !== undefined) {
        return restoreOutcome(kept);
    }
    const headers = { ...getHeadersWithoutLength(kept.headers), [BODY_STATE_HEADER]: BODY_NOT_KEPT };
    return { kind: kept.kind, status: kept.status, headers, body: Readable.from([]) };
}

function getHeadersWithoutLength(headers: HeaderFields): HeaderFields {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => name !== "content-length"));
}
