import type { NotRunOutcome } from "../outcomes/index.js";
import type { FairQueueItem } from "./FairQueueItem.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import type { ServiceRequest } from "./ServiceRequest.js";

/** A request that waits for a slot. */
export interface QueuedRequest extends FairQueueItem {
    readonly request: ServiceRequest;
    /** Receives the upstream whose slot was claimed for it; it has left the queue. */
    readonly onSelected: (upstream: PooledUpstream) => void;
    /** Takes it out of the queue and receives the refusal. */
    readonly onRefused: (refusal: NotRunOutcome) => void;
}
