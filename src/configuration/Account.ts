/** A client account; its rate and burst hold over the whole fleet. */
export interface Account {
    readonly name: string;
    /** Requests per second. */
    readonly rate: number;
    /** Requests that may come at once. */
    readonly burst: number;
    /** Rank of its requests, 0 the highest; the route's counts if undefined. */
    readonly priority?: number;
}
