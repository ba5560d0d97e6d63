/** The answer to an operator's request. */
export interface OperatorAnswer {
    /** HTTP status. */
    readonly status: number;
    readonly body: unknown;
}
