import type { RandomSource } from "../../random/index.js";
import type { Clock } from "../../time/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { RequestEnds } from "./RequestEnds.js";
import type { UpstreamSelector } from "./UpstreamSelector.js";

/** Dependencies and limits of a slot queue. */
export interface SlotQueueOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly selector: UpstreamSelector;
    /** When stopping hosts abort requests. */
    readonly ends: RequestEnds;
    /** Gets a low quantile of the latencies of such requests, in milliseconds; 0 while there are too few samples. */
    readonly getFastLatency: (request: ServiceRequest) => number;
    /** Gets the time within which most responses to such requests come, in milliseconds; 0 while there are too few samples. */
    readonly getUsualLatency: (request: ServiceRequest) => number;
    /** Gets the time within which nearly all responses to such requests come, in milliseconds. */
    readonly getLongLatency: (request: ServiceRequest) => number;
    /** Gets the number of usable slots, free or in use. */
    readonly getSlots: () => number;
    /** Gets the number of requests that may be queued. */
    readonly getCapacity: () => number;
}
