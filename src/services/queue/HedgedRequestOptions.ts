import type { DecisionLog } from "../../logging/index.js";
import type { Clock } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { SlotRunner } from "./SlotRunner.js";

/** Dependencies of hedged requests. */
export interface HedgedRequestOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    /** Runs one attempt at one upstream. */
    readonly runner: Pick<SlotRunner, "run">;
    /**
     * Finds the time after which a request without an answer is overdue, in milliseconds; undefined if it may not be sent to another
     * upstream.
     * @param request - The request.
     * @param deadline - Its deadline, in milliseconds of the clock.
     */
    readonly findPatience: (request: ServiceRequest, deadline: number) => number | undefined;
    /** Asks the sender of a request whether it may be sent to one more upstream. */
    readonly claimRetry: (request: ServiceRequest) => Promise<boolean>;
    /**
     * Claims a slot of another upstream and a retry of the service's budget at once; undefined if either is missing.
     * @param request - The request as it would be sent to the other upstream.
     */
    readonly claimSlot: (request: ServiceRequest) => PooledUpstream | undefined;
}
