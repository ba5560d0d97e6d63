/** A request that an upstream ran. */
export interface SoakRun {
    readonly id: string;
    readonly upstream: string;
    readonly service: string;
    readonly account: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly hasKey: boolean;
    /** When it arrived, in milliseconds of the monotonic clock. */
    readonly time: number;
}
