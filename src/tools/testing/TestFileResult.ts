/** What running one test file gave. */
export interface TestFileResult {
    readonly file: string;
    readonly passed: number;
    readonly total: number;
    /** Names of the tests that failed; empty if the file failed as a whole. */
    readonly failures: readonly string[];
    /** Whether the process ended with exit code 0. */
    readonly isSuccessful: boolean;
    readonly output: string;
}
