const PARSER_ERROR = "HTTPParserError";
const HEADERS_OVERFLOW = "UND_ERR_HEADERS_OVERFLOW";
/** undici asserts that a response with status 101 was asked for. */
const ASSERTION = "ERR_ASSERTION";
/** Message of undici's error for a response with status 100. */
const CONTINUE_MESSAGE = "bad response";
const MAX_SHOWN_LENGTH = 16;

/**
 * Finds what is wrong with the bytes for which the HTTP client gave up a response head; undefined if it was not for them.
 * @param error - The client's error.
 */
export function findInvalidAnswer(error: Error): string | undefined {
    const { code, data } = error as NodeJS.ErrnoException & { readonly data?: string; };
    if (error.name === PARSER_ERROR) {
        const rest = JSON.stringify(data?.split("\r\n")[0]?.slice(0, MAX_SHOWN_LENGTH) ?? "");
        return /status/i.test(error.message) ? `${error.message} at ${rest}` : error.message;
    }
    if (code === ASSERTION) {
        return error.message.includes("upgrade") ? "status 101" : "a head that can't be read";
    }
    if (code === HEADERS_OVERFLOW) {
        return error.message;
    }
    return error.message === CONTINUE_MESSAGE ? "status 100" : undefined;
}
