import type { Readable } from "node:stream";
import { closeUnusedBody } from "../utils/index.js";
import { createUnknown } from "./createUnknown.js";
import { isFinalStatus } from "./isFinalStatus.js";
import type { Outcome } from "./Outcome.js";
import type { OutcomeHead } from "./OutcomeHead.js";
import { OutcomeKind } from "./OutcomeKind.js";
import { UnknownReason } from "./UnknownReason.js";

/**
 * Creates an outcome from its head and body, which may come from another host. The body is discarded unless the request was run. The outcome is
 * unknown if the status is not that of a final response.
 * @param head - The outcome without its body.
 * @param body - The body.
 */
export function createOutcome(head: OutcomeHead, body: Readable): Outcome {
    if (head.kind !== OutcomeKind.Done) {
        closeUnusedBody(body);
        return head;
    }
    const status: unknown = head.status;
    if (!isFinalStatus(status)) {
        closeUnusedBody(body);
        return createUnknown(
            UnknownReason.InvalidAnswer,
            `A host passed on what is no answer: status ${String(status)}.`,
        );
    }
    return { ...head, body };
}
