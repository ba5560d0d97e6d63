import type { Clock } from "../time/index.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import type { UpstreamJudge } from "./UpstreamJudge.js";

/** What a recorder of attempts is made of. */
export interface AttemptRecorderOptions {
    readonly clock: Clock;
    readonly judge: UpstreamJudge;
    readonly limit: FirstByteLimit;
    /** Gets the wait below which a timeout says nothing of the upstream, in milliseconds. */
    readonly getPatience: (upstream: PooledUpstream) => number;
    /** Runs after an upstream may take more work. */
    readonly onCapacity: () => void;
}
