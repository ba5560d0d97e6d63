import type { IncomingHttpHeaders } from "undici/types/header.js";

const MIN_INTERIM_STATUS = 100;
const MAX_INTERIM_STATUS = 199;

/**
 * Whether a response head is that of an interim response, which a final one follows. One that announces a body is none (RFC 9110, 8.6).
 * @param status - The status code.
 * @param headers - The header fields.
 */
export function isInterimHead(status: number, headers: IncomingHttpHeaders): boolean {
    return status >= MIN_INTERIM_STATUS && status <= MAX_INTERIM_STATUS &&
        headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}
