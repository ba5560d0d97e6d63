import type { NotRunOutcome } from "../../outcomes/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { FairQueueItem } from "./FairQueueItem.js";

/** A request that waits for a slot. */
export interface QueuedRequest extends FairQueueItem {
    readonly request: ServiceRequest;
    /** The latest time at which it can start and still end by its deadline in most cases, in milliseconds of the clock. */
    readonly lastStartTime: number;
    /** Receives the upstream whose slot was claimed, after the request was removed from the queue. */
    readonly onSelected: (upstream: PooledUpstream) => void;
    /** Removes the request from the queue and receives the refusal. */
    readonly onRefused: (refusal: NotRunOutcome) => void;
}
