import type { Readable } from "node:stream";

/**
 * Reads a whole stream; returns undefined if it is longer than the limit. The stream is not destroyed then, as that would close
 * the connection of a request before its answer.
 * @param stream - The stream.
 * @param maxBytes - The limit in bytes.
 */
export async function readBody(stream: Readable, maxBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of stream.iterator({ destroyOnReturn: false })) {
        const bytes = chunk as Buffer;
        length += bytes.length;
        if (length > maxBytes) {
            return undefined;
        }
        chunks.push(bytes);
    }
    return Buffer.concat(chunks, length);
}
