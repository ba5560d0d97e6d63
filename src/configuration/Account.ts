/** A client account; its rate and burst limits apply to the whole fleet. */
export interface Account {
    readonly name: string;
    /** Requests per second. */
    readonly rate: number;
    /** Largest number of requests admitted at once, as in a token bucket. */
    readonly burst: number;
    /** Priority of its requests, 0 is the highest; the route's priority applies if undefined. */
    readonly priority?: number;
    /** Why its requests can't be served and are refused; undefined if they can. */
    readonly defect?: string;
}
