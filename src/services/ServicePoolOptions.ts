import type { DecisionLog } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock, StallMeter } from "../time/index.js";
import type { EjectionPolicy } from "./EjectionPolicy.js";
import type { OutcomeCache } from "./OutcomeCache.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** What a pool of upstreams is made of. */
export interface ServicePoolOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly decisions: DecisionLog;
    readonly policy: EjectionPolicy;
    readonly outcomes: OutcomeCache;
    /** Whether whole answers to idempotent requests are due by the deadline, rather than their first bytes. */
    readonly endsByDeadline?: boolean | undefined;
    /** How long the answer to an order is waited for after its deadline, in milliseconds; half a minute if undefined. */
    readonly lateAnswerMs?: number | undefined;
    /** Time in which this process stands still is not counted as an upstream's latency. */
    readonly stallMeter?: StallMeter | undefined;
    /** Gets an account's share of the slots relative to others, above 0. */
    readonly getWeight: (account: string) => number;
    /** Gets this pool's share of the part's retries that no request has earned, from 0 to 1. */
    readonly getRetryShare: () => number;
}
