import type { UpstreamAnswerHead } from "./UpstreamAnswerHead.js";

const CHUNK_BYTES = 65_536;
const FILLER = Buffer.alloc(CHUNK_BYTES, " thread");

/**
 * Creates the body of an answer: its head as a line of JSON, then filler.
 * @param head - The head; its size is raised if the line alone is longer.
 */
export function createAnswerBody(
    head: UpstreamAnswerHead,
): { readonly bytes: number; readonly chunks: Iterable<Buffer>; } {
    let { bytes } = head;
    let line = createLine(head);
    while (line.length > bytes) {
        bytes = line.length;
        line = createLine({ ...head, bytes });
    }
    return { bytes, chunks: createChunks(line, bytes - line.length) };
}

function createLine(head: UpstreamAnswerHead): Buffer {
    return Buffer.from(JSON.stringify(head) + "\n");
}

function* createChunks(line: Buffer, fillerBytes: number): Generator<Buffer> {
    yield line;
    for (let remaining = fillerBytes; remaining > 0; remaining -= CHUNK_BYTES) {
        yield FILLER.subarray(0, Math.min(remaining, CHUNK_BYTES));
    }
}
