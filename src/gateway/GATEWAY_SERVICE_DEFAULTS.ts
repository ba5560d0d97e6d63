/** Queue and outlier detection settings that apply to every service of a gateway. */
export const GATEWAY_SERVICE_DEFAULTS = {
    /** Maximum number of queued requests per slot. */
    queuePerSlot: 2,
    detection: {
        /** Healthy upstreams fail about 1 % of requests; 2 % leaves a margin. */
        healthyErrorRate: 0.02,
        /** Upstreams with a gray failure fail about 90 % of requests. */
        failingErrorRate: 0.9,
        /** One failure is enough to eject: it adds ln(0.9 / 0.02) = 3.8. */
        ejectThreshold: 3,
        /** About four slow responses eject: each adds ln(0.5 / 0.02) = 3.2. */
        slowThreshold: 10,
        slowFactor: 4,
        /** A busy host adds tens of milliseconds to its upstreams' latency; callers allow seconds. */
        minSlowMs: 100,
        /** Longer than callers' shortest deadlines: a timeout at one is no evidence against the upstream. */
        minPatienceMs: 1_200,
        /** A gray failure of an upstream lasts about 9 seconds. */
        probationMs: 9_000,
        busyProbationMs: 1_500,
        /** A lookup that fails as a trial is retried at once, so a trial delays its caller by milliseconds only. */
        lookupTrialMs: 600,
        /** An upstream that still fails after the probation is in another failure that lasts as long. */
        retrialMs: 9_000,
    },
} as const;
