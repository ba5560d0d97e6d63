import { Readable } from "node:stream";
import type { DoneOutcome, Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";
import type { BufferedOutcome } from "./BufferedOutcome.js";

/**
 * Reads an outcome's body up to the size that is stored.
 * @param outcome - The outcome.
 * @param maxBodyBytes - The largest body to store, in bytes.
 * @returns The outcome to store, and an outcome with the whole body for the caller.
 */
export async function readOutcome(outcome: Outcome, maxBodyBytes: number): Promise<BufferedOutcome> {
    return outcome.kind === OutcomeKind.Done
        ? await readDone(outcome, maxBodyBytes)
        : { stored: outcome, outcome };
}

async function readDone(outcome: DoneOutcome, maxBodyBytes: number): Promise<BufferedOutcome> {
    const { kind, status, headers } = outcome;
    const iterator = outcome.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    const chunks: Buffer[] = [];
    let length = 0;
    let failure: Error | undefined;
    while (length <= maxBodyBytes) {
        const next = await iterator.next().catch((error: Error) => error);
        if (next instanceof Error) {
            failure = next;
            break;
        }
        if (next.done === true) {
            const bytes = Buffer.concat(chunks);
            const stored = { kind, status, headers, body: bytes.toString("base64") };
            return { stored, outcome: { ...outcome, body: Readable.from(bytes.length > 0 ? [bytes] : []) } };
        }
        chunks.push(Buffer.from(next.value));
        length += next.value.length;
    }
    const stored: EncodedOutcome = { kind, status, headers, body: undefined };
    return { stored, outcome: { ...outcome, body: Readable.from(readRest(chunks, iterator, failure)) } };
}

/** Yields the chunks already read, then the rest of the body. Fails where the original body failed. */
async function* readRest(
    chunks: readonly Buffer[],
    iterator: AsyncIterator<Buffer>,
    failure: Error | undefined,
): AsyncGenerator<Buffer> {
    yield* chunks;
    if (failure !== undefined) {
        throw failure;
    }
    try {
        for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
            yield next.value;
        }
    }
    finally {
        await iterator.return?.();
    }
}
