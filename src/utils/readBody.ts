import type { Readable } from "node:stream";

/**
 * Reads a whole stream; returns undefined if it is longer than the limit.
 * @param stream - The stream.
 * @param maxBytes - The limit in bytes.
 */
export async function readBody(stream: Readable, maxBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of stream) {
        const bytes = chunk as Buffer;
        length += bytes.length;
        if (length > maxBytes) {
            return undefined;
        }
        chunks.push(bytes);
    }
    return Buffer.concat(chunks, length);
}
