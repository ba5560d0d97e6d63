/** Says that a host is leaving that has sent requests to a service host. */
export interface RecordSenderEndParams {
    /** The requests that it hasn't got the answer to yet. */
    readonly requestIds: readonly string[];
    /** Time until it aborts them, in milliseconds. */
    readonly remainingMs: number;
}
