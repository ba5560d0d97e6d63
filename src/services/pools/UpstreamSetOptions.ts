import type { DecisionLog } from "../../logging/index.js";
import type { Clock } from "../../time/index.js";
import type { EjectionPolicy } from "../detection/EjectionPolicy.js";
import type { UpstreamTransport } from "../exchange/UpstreamTransport.js";
import type { UpstreamNotices } from "../notices/UpstreamNotices.js";

/** The dependencies of a set of upstreams. */
export interface UpstreamSetOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly transport: UpstreamTransport;
    readonly policy: EjectionPolicy;
    readonly notices: UpstreamNotices;
    /** Gets this host's share of the request rate that an upstream accepts, above 0. */
    readonly getRateShare: () => number;
}
