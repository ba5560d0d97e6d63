/** The response to an operator's request. */
export interface OperatorResponse {
    /** HTTP status. */
    readonly status: number;
    /** The body as a JSON value. */
    readonly body: unknown;
}
