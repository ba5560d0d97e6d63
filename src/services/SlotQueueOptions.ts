import type { Clock } from "../time/index.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import type { UpstreamSelector } from "./UpstreamSelector.js";

/** What a queue for slots is made of. */
export interface SlotQueueOptions {
    readonly clock: Clock;
    readonly selector: UpstreamSelector;
    /** Gets a time that few answers to such a request undercut, in milliseconds; 0 while too little is known. */
    readonly getFastLatency: (request: ServiceRequest) => number;
    /** Gets the time within which most answers to such a request come, in milliseconds; 0 while too little is known. */
    readonly getUsualLatency: (request: ServiceRequest) => number;
    /** Gets the slots that may be used now. */
    readonly getSlots: () => number;
    /** Gets the requests that may wait. */
    readonly getCapacity: () => number;
}
