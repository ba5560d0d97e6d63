import { Readable } from "node:stream";
import type { DoneOutcome, Outcome } from "../outcomes/index.js";
import { createUnknown, OutcomeKind, UnknownReason } from "../outcomes/index.js";

/**
 * Reads an answer ahead, so that one that is cut before the limit is known as cut and nothing of it was passed on.
 * @param outcome - The outcome with the answer.
 * @param maxBytes - How much to read ahead; the rest is streamed.
 */
export async function openReadAhead(outcome: Outcome, maxBytes: number): Promise<Outcome> {
    if (outcome.kind !== OutcomeKind.Done) {
        return outcome;
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
    return { ...outcome, body: createRest(parts, iterator, outcome.body) };
}

function createWhole(outcome: DoneOutcome, content: Buffer): Outcome {
    return { ...outcome, body: Readable.from(content.length === 0 ? [] : [content], { objectMode: false }) };
}

function createRest(parts: readonly Buffer[], iterator: AsyncIterator<Buffer>, source: Readable): Readable {
    const rest = Readable.from(readRest(parts, iterator), { objectMode: false });
    rest.once("close", () => source.destroy());
    return rest;
}

async function* readRest(parts: readonly Buffer[], iterator: AsyncIterator<Buffer>): AsyncGenerator<Buffer> {
    yield* parts;
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
        yield next.value;
    }
}
