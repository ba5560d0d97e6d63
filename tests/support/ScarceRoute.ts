/** A kind of request of a load that has too few slots. */
export interface ScarceRoute {
    readonly name: string;
    readonly priority: number;
    /** Requests per second of all accounts together. */
    readonly ratePerSecond: number;
    /** Mean service time, in milliseconds. */
    readonly serviceTimeMs: number;
    readonly targetMs: number;
    readonly timeoutMs: number;
    readonly isIdempotent: boolean;
}
