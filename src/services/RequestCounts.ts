/** What a service host has served of one service in the last two seconds. */
export interface RequestCounts {
    /** Requests that ended. */
    readonly requests: number;
    /** Those of them that were refused or failed. */
    readonly unserved: number;
}
