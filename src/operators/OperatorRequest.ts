import type { URLSearchParams } from "node:url";

/** A request of an authenticated operator. */
export interface OperatorRequest {
    /** The operator's name. */
    readonly operator: string;
    readonly query: URLSearchParams;
    /** The body as a JSON value; undefined if there is none. */
    readonly body: unknown;
}
