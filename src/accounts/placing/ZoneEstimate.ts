import type { PartEstimate } from "./PartEstimate.js";

/** What an entry host expects of the parts of a service in one availability zone. */
export interface ZoneEstimate {
    readonly zone: string;
    readonly parts: readonly PartEstimate[];
    /** Expected wait of a new request for a slot, in milliseconds: infinite if no slot is usable; undefined if that is not known. */
    readonly waitMs: number | undefined;
    /** Share of recent attempts that its upstreams have served, from 0 to 1. */
    readonly servedShare: number;
}
