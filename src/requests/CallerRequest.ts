import type { Account, Route } from "../configuration/index.js";
import type { HeaderFields } from "../outcomes/index.js";

/** A checked request of a caller at one of its account hosts. */
export interface CallerRequest {
    readonly requestId: string;
    /** The client account; undefined for a request without a key on an open route. */
    readonly account: Account | undefined;
    /** The public part of the key that came with it. */
    readonly keyId: string | undefined;
    readonly route: Route;
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Without the caller's key and without connection-level fields. */
    readonly headers: HeaderFields;
    readonly body: Buffer;
    readonly idempotencyKey: string | undefined;
    /** Time left until the first byte of the answer, in milliseconds. */
    readonly timeoutMs: number;
}
