import type { Readable } from "node:stream";
import { closeUnusedBody } from "../utils/index.js";
import type { Outcome } from "./Outcome.js";
import type { OutcomeHead } from "./OutcomeHead.js";
import { OutcomeKind } from "./OutcomeKind.js";

/**
 * Creates an outcome from its head and body. The body is discarded unless the request was run.
 * @param head - The outcome without its body.
 * @param body - The body.
 */
export function createOutcome(head: OutcomeHead, body: Readable): Outcome {
    if (head.kind === OutcomeKind.Done) {
        return { ...head, body };
    }
    closeUnusedBody(body);
    return head;
}
