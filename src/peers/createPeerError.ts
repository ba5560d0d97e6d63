import { PeerUnavailableError } from "../errors/index.js";

const NOT_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Creates the error of a call that got no answer, marked if the call is known not to have been sent.
 * @param address - The peer's address.
 * @param cause - The error of the HTTP client.
 */
export function createPeerError(address: string, cause: unknown): PeerUnavailableError {
    const code = (cause as { code?: string; } | undefined)?.code ?? "";
    const message = cause instanceof Error ? cause.message : String(cause);
    return new PeerUnavailableError(`${address}: ${message}`, NOT_SENT_CODES.has(code), { cause });
}
