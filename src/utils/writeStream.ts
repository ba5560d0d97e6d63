import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";

/**
 * Writes a stream as the body of a response whose head has been set, with back-pressure; rejects if it breaks off. The head goes out
 * with the first part of the body if that is at hand, else by itself.
 * @param body - The body.
 * @param response - The response.
 * @param signal - Ends the response early when it is aborted.
 */
export async function writeStream(body: Readable, response: ServerResponse, signal?: AbortSignal): Promise<void> {
    const flush = setImmediate(() => response.flushHeaders());
    try {
        await pipeline(body, response, { signal });
    }
    finally {
        clearImmediate(flush);
    }
}
