import { Readable } from "node:stream";
import type { DoneOutcome, Outcome } from "../outcomes/index.js";
import { createUnknown, OutcomeKind, UnknownReason } from "../outcomes/index.js";

/**
 * Reads an answer ahead, so that one that is cut before the limit is known as cut and nothing of it was passed on.
 * @param outcome - The outcome with the answer.
 * @param maxBytes - How much to read ahead; the rest is streamed.
 * @param signal - Aborted when nobody waits for the answer any more, which closes it.
 */
export async function readBodyAhead(outcome: Outcome, maxBytes: number, signal?: AbortSignal): Promise<Outcome> {
    if (outcome.kind !== OutcomeKind.Done) {
        return outcome;
    }
    const close = (): void => void outcome.body.destroy();
    signal?.addEventListener("abort", close, { once: true });
    if (signal?.aborted === true) {
        close();
    }
    const parts: Buffer[] = [];
    let length = 0;
    const iterator = outcome.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    try {
        while (length <= maxBytes) {
            const next = await iterator.next();
            if (next.done === true) {
                return createWhole(outcome, Buffer.concat(parts, length));
            }
            parts.push(next.value);
            length += next.value.length;
        }
    }
    catch {
        return createUnknown(UnknownReason.AnswerCut, "The upstream's answer was cut.");
    }
    finally {
        signal?.removeEventListener("abort", close);
    }
    return { ...outcome, body: createRest(parts, iterator, outcome.body) };
}

function createWhole(outcome: DoneOutcome, content: Buffer): Outcome {
    return { ...outcome, body: Readable.from(content.length === 0 ? [] : [content], { objectMode: false }) };
}

/** Closes the source with the rest at once, also while the next part of it is waited for. */
function createRest(parts: readonly Buffer[], iterator: AsyncIterator<Buffer>, source: Readable): Readable {
    const waiting = [...parts];
    const rest = new Readable({
        read: () => {
            const part = waiting.shift();
            if (part !== undefined) {
                rest.push(part);
                return;
            }
            iterator.next().then(
                next => rest.push(next.done === true ? null : next.value),
                (error: Error) => rest.destroy(error),
            );
        },
        destroy: (error, callback) => {
            source.destroy();
            callback(error);
        },
    });
    return rest;
}
