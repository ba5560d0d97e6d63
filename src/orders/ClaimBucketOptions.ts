import type { Store } from "../store/index.js";
import type { Clock } from "../time/index.js";

/** What the writer of one bucket of claims works with. */
export interface ClaimBucketOptions {
    readonly clock: Clock;
    readonly store: Store;
    /** The bucket's record in the store. */
    readonly key: string;
    /** The least time between two calls of the store, in milliseconds. */
    readonly pauseMs: number;
}
