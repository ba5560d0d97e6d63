/** The requests of one part of a service that ended in the last two seconds at its service host. */
export interface RequestCounts {
    /** All requests that ended. */
    readonly requests: number;
    /** Those of them that were refused or failed. */
    readonly unserved: number;
}
