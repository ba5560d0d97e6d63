import { OutcomeKind } from "../outcomes/index.js";
import { decodeJson } from "../utils/index.js";
import type { PeerAnswerHead } from "./PeerAnswerHead.js";

const OUTCOME_KINDS: ReadonlySet<unknown> = new Set(Object.values(OutcomeKind));

/**
 * Decodes the head of a peer's answer; throws a SyntaxError if it has no outcome.
 * @param text - The encoded head.
 */
export function decodeAnswerHead(text: string): PeerAnswerHead {
    const head = decodeJson(text) as Partial<PeerAnswerHead> | null;
    if (!OUTCOME_KINDS.has(head?.outcome?.kind)) {
        throw new SyntaxError("The head of the answer has no outcome.");
    }
    return head as PeerAnswerHead;
}
