/** A decision as an entry host has written it to its log. */
export interface LoggedDecision {
    readonly decision: string;
    readonly upstream: string | undefined;
    readonly reason: string | undefined;
    /** Milliseconds since the Unix epoch. */
    readonly time: number;
}
