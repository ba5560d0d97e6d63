/** What the upstreams' own records say about a run; the lists name the first few. */
export interface AuditReport {
    readonly records: number;
    /** Orders that ran more than once. */
    readonly doubles: number;
    /** Requests answered as done that no upstream ran. */
    readonly lost: number;
    /** Requests answered as not run that an upstream ran. */
    readonly falseRefusals: number;
    /** Requests whose headers held a caller's secret. */
    readonly leakedKeys: number;
    /** Requests that ran under another account than the one whose key came with them. */
    readonly wrongAccounts: number;
    readonly examples: readonly string[];
}
