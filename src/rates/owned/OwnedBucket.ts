import type { TokenBucket } from "../TokenBucket.js";
import type { AccountDemand } from "./AccountDemand.js";

/** The bucket of an account of whose rate this host is an owner. */
export interface OwnedBucket {
    readonly bucket: TokenBucket;
    /** From when on the bucket fills, in milliseconds of the clock. */
    since: number;
    /** The ids of the account's owners in the current view. */
    owners: ReadonlySet<string>;
    readonly demand: AccountDemand;
}
