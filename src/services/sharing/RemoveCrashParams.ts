/** Notifies a service host of a quarantined request, so that the crashes it caused don't count. */
export interface RemoveCrashParams {
    readonly requestId: string;
}
