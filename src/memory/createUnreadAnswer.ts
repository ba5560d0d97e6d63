import type { ServerResponse } from "node:http";
import type { UnreadAnswer } from "./UnreadAnswer.js";

/** What is read ahead of a caller at most, in bytes. */
const READ_AHEAD_BYTES = 256 * 1024;
/** What the streams between an upstream and a caller hold of an answer, in bytes. */
const STREAM_BYTES = 64 * 1024;

/**
 * Creates the record of an answer that is being sent.
 * @param response - The response.
 * @param headers - The header fields of the answer.
 * @param requestId - The id of the request.
 */
export function createUnreadAnswer(
    response: ServerResponse,
    headers: Readonly<Record<string, string | readonly string[]>>,
    requestId: string,
): UnreadAnswer {
    const { socket } = response;
    const start = socket?.bytesWritten ?? 0;
    const length = Number(headers["content-length"] ?? Number.POSITIVE_INFINITY);
    return {
        requestId,
        bytes: Math.min(Number.isNaN(length) ? Number.POSITIVE_INFINITY : length, READ_AHEAD_BYTES) + STREAM_BYTES,
        isBlocked: () => response.writableNeedDrain || (socket?.writableLength ?? 0) > 0,
        getSentBytes: () => (socket?.bytesWritten ?? start) - (socket?.writableLength ?? 0) - start,
        close: () => socket?.destroy(),
    };
}
