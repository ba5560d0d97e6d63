import type { RateGrant } from "./RateGrant.js";

/** A request that waits for a token from another host. */
export interface WaitingRequest {
    /** The pass over the hosts during which it came; 0 before the first. */
    readonly pass: number;
    /**
     * Ends the wait.
     * @param grant - The token; undefined if there is none.
     */
    readonly resolve: (grant: RateGrant | undefined) => void;
}
