import type { URLSearchParams } from "node:url";

/** A checked request of an operator. */
export interface OperatorRequest {
    /** The operator's name. */
    readonly operator: string;
    readonly query: URLSearchParams;
    /** The body as JSON; undefined if there is none. */
    readonly body: unknown;
}
