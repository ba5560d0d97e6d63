import type { RateGrant } from "./RateGrant.js";

/** A request that is waiting for a token from another host. */
export interface WaitingRequest {
    /** The pass over the hosts during which it arrived; 0 before the first. */
    readonly pass: number;
    /**
     * Ends the wait.
     * @param grant - The grant of a token; undefined if there is none.
     */
    readonly resolve: (grant: RateGrant | undefined) => void;
}
