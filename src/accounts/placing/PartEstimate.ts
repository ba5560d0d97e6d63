import type { ServicePart } from "../../configuration/index.js";
import type { PartCapacity } from "./PartCapacity.js";

/** What an entry host expects of a part of a service now. */
export interface PartEstimate {
    readonly part: ServicePart;
    /** Free slots less the requests that are ahead of a new one; below 0 if it would wait. */
    readonly freeSlots: number;
    /** Share of recent attempts that upstreams have served, above 0 to 1. */
    readonly servedShare: number;
    /** Undefined if no recent report tells it. */
    readonly capacity: PartCapacity | undefined;
}
