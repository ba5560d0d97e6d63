/** A broken promise. */
export interface Finding {
    /** The promise's name in the platform's rules. */
    readonly promise: string;
    readonly detail: string;
    /** Attempt ids of the requests. */
    readonly requests: readonly string[];
}
