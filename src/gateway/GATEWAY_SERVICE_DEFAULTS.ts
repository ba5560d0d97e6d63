/** What the product decides for every service of a gateway. */
export const GATEWAY_SERVICE_DEFAULTS = {
    /** Requests that may wait for each slot. */
    queuePerSlot: 2,
    detection: {
        /** Failures of sound upstreams, about one in a hundred on the platform's sheets, with some room. */
        healthyErrorRate: 0.02,
        /** Failures in a spell, about nine in ten. */
        failingErrorRate: 0.9,
        /** ln(0.9 / 0.02) is 3.8, so that one failure ejects. */
        ejectThreshold: 3,
        /** Some four slow answers: ln(0.5 / 0.02) is 3.2. */
        slowThreshold: 10,
        slowFactor: 4,
        /** A busy host adds tens of milliseconds to the answers of all its upstreams, and callers expect theirs within seconds. */
        minSlowMs: 100,
        /** Longer than the shortest deadlines that callers set. */
        minPatienceMs: 1_200,
        /** How long a spell of failures lasts on the platform's sheets. */
        probationMs: 9_000,
        busyProbationMs: 1_500,
        /** A lookup whose trial fails is sent again at once, so that a trial costs its caller milliseconds. */
        lookupTrialMs: 600,
        /** One that has outlasted a spell is in the next, which is as long. */
        retrialMs: 9_000,
    },
} as const;
