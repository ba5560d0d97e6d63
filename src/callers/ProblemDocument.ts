/** An RFC 9457 problem document. */
export interface ProblemDocument {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    /** "not-run" or "unknown" */
    readonly outcome: string;
    readonly reason: string;
    readonly requestId: string;
    /** URLs of other entry hosts that the caller may try. */
    readonly otherUrls?: readonly string[];
}
