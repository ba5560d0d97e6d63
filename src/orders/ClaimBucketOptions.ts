import type { Store } from "../store/index.js";
import type { Clock } from "../time/index.js";

/** The dependencies and store record of one bucket of claims. */
export interface ClaimBucketOptions {
    readonly clock: Clock;
    readonly store: Store;
    /** Key of the bucket's record in the store. */
    readonly key: string;
    /** Pause between two batches, in milliseconds. */
    readonly pauseMs: number;
}
