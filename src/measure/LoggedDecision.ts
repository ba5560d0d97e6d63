/** A decision from the log of an entry host. */
export interface LoggedDecision {
    readonly decision: string;
    readonly upstream: string | undefined;
    readonly reason: string | undefined;
    /** Milliseconds since the Unix epoch. */
    readonly time: number;
}
