import { Readable } from "node:stream";
import type { DoneOutcome, Outcome } from "../../outcomes/index.js";
import { createUnknown, OutcomeKind, UnknownReason } from "../../outcomes/index.js";
import { ByteCollector } from "../../utils/index.js";

/**
 * Buffers the start of a response body, so that a body truncated within the limit is detected before any of it is passed on.
 * @param outcome - The outcome with the response.
 * @param maxBytes - How many bytes to buffer; the rest is streamed.
 * @param signal - Aborted when the response is no longer needed, which closes it.
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
    const start = new ByteCollector();
    const iterator = outcome.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    try {
        while (start.getLength() <= maxBytes) {
            const next = await iterator.next();
            if (next.done === true) {
                return createBufferedOutcome(outcome, start.getBytes());
            }
            start.add(next.value);
        }
    }
    catch {
        return createUnknown(UnknownReason.AnswerCut, "The upstream's answer was cut.");
    }
    finally {
        signal?.removeEventListener("abort", close);
    }
    return { ...outcome, body: createRemainder(start.getBytes(), iterator, outcome.body) };
}

function createBufferedOutcome(outcome: DoneOutcome, content: Buffer): Outcome {
    return { ...outcome, body: Readable.from(content.length === 0 ? [] : [content], { objectMode: false }) };
}

/** Streams the buffered start, then the rest of the source; destroying it closes the source at once, even during a read. */
function createRemainder(start: Buffer, iterator: AsyncIterator<Buffer>, source: Readable): Readable {
    let isStartPassed = false;
    const rest = new Readable({
        read: () => {
            if (!isStartPassed) {
                isStartPassed = true;
                rest.push(start);
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
