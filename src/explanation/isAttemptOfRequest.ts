/** The number of an attempt, or of one that a service host sent beside another, as "2", "h2" or "2.h2". */
const ATTEMPT_SUFFIX = /^(\d+|h\d+|\d+\.h\d+)$/;

/**
 * Whether an id names an attempt of a request: the request's own id, or that id followed by a dot and the attempt's number.
 * @param id - The id in a log line.
 * @param requestId - The request's id.
 */
export function isAttemptOfRequest(id: string | undefined, requestId: string): boolean {
    return id === requestId ||
        (id?.startsWith(`${requestId}.`) === true && ATTEMPT_SUFFIX.test(id.slice(requestId.length + 1)));
}
