/** A request that reached an upstream, whether or not it ran there. */
export interface SoakArrival {
    readonly id: string;
    readonly service: string;
    /** When it arrived, in milliseconds of the monotonic clock. */
    readonly time: number;
}
