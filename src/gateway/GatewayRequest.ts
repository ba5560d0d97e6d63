import type { HeaderFields } from "../outcomes/index.js";

/** A caller's request, without its body, as the caller's protocol was decoded. */
export interface GatewayRequest {
    /** The caller's id of this attempt; each attempt has its own. */
    readonly requestId: string;
    /** The caller's key; undefined if it sent none. */
    readonly key: string | undefined;
    /** The host name that the caller asked for, without a port. */
    readonly host: string;
    readonly method: string;
    /** Path with query. */
    readonly target: string;
    /** What goes on to the upstream: without the key and without fields of the connection. */
    readonly headers: HeaderFields;
    /** How long the caller waits, in milliseconds; undefined if it does not say. */
    readonly timeoutMs: number | undefined;
}
