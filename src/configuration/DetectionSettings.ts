/** Outlier detection settings of a service: they trade fast detection against false ejections. */
export interface DetectionSettings {
    /** Error rate of a healthy upstream, from 0 to 1. */
    readonly healthyErrorRate: number;
    /** Error rate that must be detected, from 0 to 1. */
    readonly failingErrorRate: number;
    /** Threshold of the CUSUM test for ejection, in nats; a higher one ejects later, with fewer false ejections. */
    readonly ejectThreshold: number;
    /** Threshold for ejection because of slowness, in the same units; ejectThreshold if undefined. */
    readonly slowThreshold?: number;
    /** Multiple of the latency of the service's other upstreams that counts as slow. */
    readonly slowFactor: number;
    /** Latency below which a response never counts as slow, in milliseconds; 0 if undefined. */
    readonly minSlowMs?: number;
    /** A wait without a response counts as evidence only from this length on, in milliseconds; 0 if undefined. */
    readonly minPatienceMs?: number;
    /** Duration of the first ejection, in milliseconds; doubles each time that the upstream fails again after its return. */
    readonly probationMs: number;
    /** Duration of the first ejection while at least a third of the slots are in use, in milliseconds; else probationMs. */
    readonly busyProbationMs?: number;
    /**
     * Time from the ejection of an upstream that fails without delay until it gets trial lookups, in milliseconds. Orders
     * wait for the durations above. There are no such trials if undefined.
     */
    readonly lookupTrialMs?: number;
    /** Duration of an ejection after a failed trial, in milliseconds; doubles from probationMs if undefined. */
    readonly retrialMs?: number;
}
