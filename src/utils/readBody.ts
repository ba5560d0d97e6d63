import type { Readable } from "node:stream";

/**
 * Reads a stream whole; undefined if it is longer than the limit.
 * @param stream - The stream.
 * @param maxBytes - The limit in bytes.
 */
export async function readBody(stream: Readable, maxBytes: number): Promise<Buffer | undefined> {
    const parts: Buffer[] = [];
    let length = 0;
    for await (const part of stream) {
        const bytes = part as Buffer;
        length += bytes.length;
        if (length > maxBytes) {
            return undefined;
        }
        parts.push(bytes);
    }
    return Buffer.concat(parts, length);
}
