import type { DecisionLog } from "../../logging/index.js";
import type { RandomSource } from "../../random/index.js";
import type { Clock, StallMeter } from "../../time/index.js";
import type { EjectionPolicy } from "../detection/EjectionPolicy.js";
import type { UpstreamTransport } from "../exchange/UpstreamTransport.js";
import type { UpstreamNotices } from "../notices/UpstreamNotices.js";
import type { OutcomeCache } from "../outcomes/OutcomeCache.js";
import type { RequestEnds } from "../queue/RequestEnds.js";
import type { ServiceRequest } from "../ServiceRequest.js";

/** Dependencies and settings of a pool of upstreams. */
export interface ServicePoolOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly decisions: DecisionLog;
    readonly policy: EjectionPolicy;
    readonly outcomes: OutcomeCache;
    /** What upstreams say about themselves in their responses. */
    readonly notices: UpstreamNotices;
    /** When this host, or a sender of requests, aborts them as it is stopping. */
    readonly ends: RequestEnds;
    /** Whether the whole response to an idempotent request is due by the deadline, rather than its first byte. */
    readonly endsByDeadline?: boolean | undefined;
    /**
     * Time after the deadline in which the response to a request that is not idempotent is still received, in milliseconds;
     * 30 seconds if undefined.
     */
    readonly lateAnswerMs?: number | undefined;
    /** Measures the time in which this process was stalled, which is subtracted from latencies. */
    readonly stallMeter?: StallMeter | undefined;
    /** Gets an account's share of the slots relative to others, above 0. */
    readonly getWeight: (account: string | undefined) => number;
    /** Asks the sender of a request whether it may be sent to one more upstream. */
    readonly claimRetry: (request: ServiceRequest) => Promise<boolean>;
    /** Gets this pool's share of the part's retry rate and of its token bucket, from 0 to 1. */
    readonly getRetryShare: () => number;
    /** Gets this host's share of the request rate that an upstream of the part accepts, above 0. */
    readonly getRateShare: () => number;
}
