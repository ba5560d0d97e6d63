import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock, StallMeter } from "../time/index.js";
import type { EjectionPolicy } from "./detection/EjectionPolicy.js";
import type { UpstreamTransport } from "./exchange/UpstreamTransport.js";

/** Dependencies and settings of a service host. */
export interface ServiceHostOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly handlers: PeerHandlers;
    readonly peers: PeerTransport;
    readonly membership: Membership;
    readonly decisions: DecisionLog;
    /** How upstreams are selected and ejected; sequential if undefined. */
    readonly policy?: EjectionPolicy;
    /** Whether the whole response to an idempotent request is due by the deadline, rather than its first byte. */
    readonly endsByDeadline?: boolean | undefined;
    /**
     * Time after the deadline in which the response to a request that is not idempotent is still received, in milliseconds;
     * 30 seconds if undefined.
     */
    readonly lateAnswerMs?: number | undefined;
    /** Measures the time in which this process was stalled, which is subtracted from latencies. */
    readonly stallMeter?: StallMeter | undefined;
}
