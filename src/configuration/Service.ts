import type { DetectionSettings } from "./DetectionSettings.js";
import type { Upstream } from "./Upstream.js";

/** A service with its upstreams, its retry limits and its outlier detection settings. */
export interface Service {
    readonly name: string;
    readonly upstreams: readonly Upstream[];
    /** Share of the upstreams that is never ejected, from 0 to 1. */
    readonly floor: number;
    /** Retries allowed as a share of the requests, from 0 to 1. */
    readonly retryBudget: number;
    /** Additional retries allowed per second across the whole fleet; none if undefined. */
    readonly retryRate?: number;
    /** Retries that the fleet may grant at once beyond these, all parts of the service together; no limit if undefined. */
    readonly retryBurst?: number;
    /** Longest queue per upstream slot, in requests. */
    readonly queuePerSlot: number;
    /** Requests per second that a cold upstream accepts from all hosts together; no limit if undefined. */
    readonly coldRate?: number;
    /** For how long an upstream is cold after its start, in milliseconds; 0 if undefined. */
    readonly coldStartMs?: number;
    readonly detection: DetectionSettings;
}
