import type { Readable } from "node:stream";

/** Length up to which a body that is of no use is read, in bytes: more than a refusal holds, and less than a new connection costs. */
const MAX_UNUSED_BYTES = 16 * 1024;

/**
 * Reads a body that is of no use to its end, so that its connection can be used again; a body that is longer than 16 KiB is closed. Such a body
 * may have no end.
 * @param body - The body; nobody else reads it.
 */
export function closeUnusedBody(body: Readable): void {
    let bytes = 0;
    body.on("error", () => {});
    body.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > MAX_UNUSED_BYTES) {
            body.destroy();
        }
    });
}
