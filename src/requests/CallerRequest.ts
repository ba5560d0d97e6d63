import type { Account, Route } from "../configuration/index.js";
import type { HeaderFields } from "../outcomes/index.js";

/** A caller's request after authentication and routing. */
export interface CallerRequest {
    readonly requestId: string;
    /** The client account; undefined for a request without an API key on an open route. */
    readonly account: Account | undefined;
    /** The public part of the request's API key. */
    readonly keyId: string | undefined;
    readonly route: Route;
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Header fields without the caller's API key and hop-by-hop fields. */
    readonly headers: HeaderFields;
    readonly body: Buffer;
    readonly idempotencyKey: string | undefined;
    /** Time left until the first byte of the answer, in milliseconds. */
    readonly timeoutMs: number;
}
