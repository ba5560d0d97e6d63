import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock, StallMeter } from "../time/index.js";
import type { EjectionPolicy } from "./EjectionPolicy.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** What a service host is made of. */
export interface ServiceHostOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly handlers: PeerHandlers;
    readonly peers: PeerTransport;
    readonly membership: Membership;
    readonly decisions: DecisionLog;
    /** How upstreams are chosen and judged; sequential unless it is given. */
    readonly policy?: EjectionPolicy;
    /** Whether whole answers to idempotent requests are due by the deadline, rather than their first bytes. */
    readonly endsByDeadline?: boolean | undefined;
    /** How long the answer to an order is waited for after its deadline, in milliseconds; half a minute if undefined. */
    readonly lateAnswerMs?: number | undefined;
    /** Time in which this process stands still is not counted as an upstream's latency. */
    readonly stallMeter?: StallMeter | undefined;
}
