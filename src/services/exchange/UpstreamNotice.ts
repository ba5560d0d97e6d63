/** What a response says about the upstream that sent it. */
export interface UpstreamNotice {
    /** Requests per second that it accepts from all hosts together; Infinity for no limit, undefined if the field can't be read. */
    readonly requestRate: number | undefined;
    /** Whether it leaves and wants no more requests. */
    readonly isLeaving: boolean;
    /** For how long it wants no request from this host, in milliseconds; undefined if it doesn't say. */
    readonly retryAfterMs?: number | undefined;
}
