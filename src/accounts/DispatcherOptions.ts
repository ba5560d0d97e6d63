import type { PeerForwarder } from "../forwarding/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { ServiceRunner, UpstreamNotices } from "../services/index.js";
import type { Clock } from "../time/index.js";

/** The dependencies of a dispatcher, and how it handles unreachable service hosts. */
export interface DispatcherOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    /** Receives the calls of service hosts. */
    readonly handlers: PeerHandlers;
    readonly forwarder: PeerForwarder;
    /** The service host of this process. */
    readonly serviceRunner: ServiceRunner;
    readonly decisionLog: DecisionLog;
    /** Keeps what upstreams tell other hosts, in case this host has to send to them itself. */
    readonly notices?: UpstreamNotices;
    /** Whether an idempotent request waits for a remote service host until its deadline; otherwise for half of its timeout. */
    readonly waitsUntilDeadline?: boolean;
    /** Whether this host sends to the upstreams itself while no service host is reachable; otherwise it refuses the request. */
    readonly isLocalFallbackEnabled?: boolean;
}
