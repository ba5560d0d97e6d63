import type { Outcome } from "../../outcomes/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";

/** The outcome of a request, and the upstreams that it was sent to. */
export interface HedgedResult {
    readonly outcome: Outcome;
    /** The upstream with that outcome. */
    readonly pooled: PooledUpstream;
    /** The other upstreams that it was sent to. */
    readonly others: readonly PooledUpstream[];
    /** The ids of the attempts whose connection was lost while the upstream ran them. */
    readonly lostAttempts: readonly string[];
}
