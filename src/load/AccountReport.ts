/** What came of an account's requests of one kind; times are in milliseconds. */
export interface AccountReport {
    readonly account: string;
    readonly requestKind: string;
    readonly sent: number;
    readonly done: number;
    /** Of those done, answers with a status of 500 and more. */
    readonly doneWithError: number;
    /** Refusals by reason. */
    readonly refused: Readonly<Record<string, number>>;
    /** Unknown outcomes by reason. */
    readonly unknown: Readonly<Record<string, number>>;
    /** Failures at the caller by reason. */
    readonly failed: Readonly<Record<string, number>>;
    readonly wrong: number;
    readonly attempts: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}
