/** Acknowledges that crashes were removed. */
export interface RemoveCrashResult {
    readonly requestId: string;
}
