import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";

/**
 * Writes a stream as the body of a response whose head has been set, with back-pressure; rejects if the stream fails. The
 * head is sent together with the first chunk of the body if that is already available, otherwise on its own.
 * @param body - The body.
 * @param response - The response.
 * @param signal - Aborts the response.
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
