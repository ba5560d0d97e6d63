/** What an upstream last said about itself in a response, as one host tells it to another. */
export interface UpstreamNoticeReport {
    /** The upstream's name. */
    readonly upstream: string;
    /** The upstream's incarnation; undefined if restarts can't be detected. */
    readonly incarnation?: string;
    /** Requests per second that it accepts from all hosts together; no limit if undefined. */
    readonly requestRate?: number;
    /** Whether it leaves and wants no more requests. */
    readonly isLeaving?: true;
    /** The age of the response, in milliseconds. */
    readonly ageMs: number;
}
