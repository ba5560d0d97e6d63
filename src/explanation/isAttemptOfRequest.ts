/**
 * Whether an id names an attempt of a request: the request's own id, or that id followed by a dot and a number.
 * @param id - The id in a log line.
 * @param requestId - The request's id.
 */
export function isAttemptOfRequest(id: string | undefined, requestId: string): boolean {
    return id === requestId ||
        (id?.startsWith(`${requestId}.`) === true && /^\d+$/.test(id.slice(requestId.length + 1)));
}
