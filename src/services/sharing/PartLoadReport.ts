import type { PartCapacityReport } from "./PartCapacityReport.js";

/** The load of a part of a service. */
export interface PartLoadReport {
    /** The key of the part. */
    readonly part: string;
    /** Free slots on its upstreams. */
    readonly freeSlots: number;
    /** Requests that are queued for a slot. */
    readonly queued: number;
    /** Undefined from a host that does not report it. */
    readonly capacity?: PartCapacityReport;
    /** The age of the figures, in milliseconds. */
    readonly ageMs: number;
}
