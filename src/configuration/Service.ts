import type { DetectionSettings } from "./DetectionSettings.js";
import type { Upstream } from "./Upstream.js";

/** A service with its upstreams. */
export interface Service {
    readonly name: string;
    readonly upstreams: readonly Upstream[];
    /** Share of the upstreams that is never ejected, from 0 to 1. */
    readonly floor: number;
    /** Retries allowed as a share of requests, from 0 to 1. */
    readonly retryBudget: number;
    /** Retries allowed beyond that share, per second over the whole fleet; none if undefined. */
    readonly retryRate?: number;
    /** Requests that may wait for each slot. */
    readonly queuePerSlot: number;
    readonly detection: DetectionSettings;
}
