/**
 * Whether an id names an attempt of a request: the request's own id, or that with a dot and a number behind it.
 * @param id - The id in a log line.
 * @param requestId - The request.
 */
export function isOfRequest(id: string | undefined, requestId: string): boolean {
    return id === requestId ||
        (id?.startsWith(`${requestId}.`) === true && /^\d+$/.test(id.slice(requestId.length + 1)));
}
