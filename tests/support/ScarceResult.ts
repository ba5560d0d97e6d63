/** How the requests of a route or an account ended. */
export interface ScarceResult {
    readonly requests: number;
    /** Share served within the target, from 0 to 1. */
    readonly inTime: number;
    /** Share served at all, from 0 to 1. */
    readonly served: number;
    /** Mean wait of the refused requests, in milliseconds. */
    readonly refusedAfterMs: number;
}
