/** Tells a service host that a request was quarantined, so that its crashes don't count. */
export interface RemoveCrashParams {
    readonly requestId: string;
}
