import type { RandomSource } from "../random/index.js";
import type { Store } from "../store/index.js";
import type { Clock } from "../time/index.js";

/** Dependencies of a StoredHeadStore. */
export interface StoredHeadStoreOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly random: RandomSource;
}
