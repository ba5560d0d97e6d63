import type { HeaderFields } from "../outcomes/index.js";

/** A caller's decoded request, without its body. */
export interface GatewayRequest {
    /** The caller's id of this attempt; each retry has another one. */
    readonly requestId: string;
    /** The caller's API key; undefined if it sent none. */
    readonly key: string | undefined;
    /** The host name of the request, without a port. */
    readonly host: string;
    readonly method: string;
    /** Path with query. */
    readonly target: string;
    /** The header fields that are forwarded to the upstream: without the API key and the hop-by-hop fields. */
    readonly headers: HeaderFields;
    /** The caller's timeout, in milliseconds; undefined if it sent none. */
    readonly timeoutMs: number | undefined;
}
