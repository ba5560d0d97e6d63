/** Size and time limits for the requests of a caller. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Time within which all header fields of a request must arrive, in milliseconds. */
    readonly headersTimeoutMs: number;
    /** Time after which an idle connection is closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}
