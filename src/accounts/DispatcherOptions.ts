import type { PeerForwarder } from "../forwarding/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { ServiceRunner } from "../services/index.js";
import type { Clock } from "../time/index.js";

/** What the dispatch of requests to service hosts works with. */
export interface DispatcherOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly forwarder: PeerForwarder;
    /** The service host of this process. */
    readonly serviceRunner: ServiceRunner;
    readonly decisionLog: DecisionLog;
    /**
     * Whether an idempotent request waits for a service host elsewhere until its deadline; it waits half of its time if
     * undefined.
     */
    readonly waitsUntilDeadline?: boolean;
    /** Whether this host sends to the upstreams itself while it reaches no service host; refuses if undefined. */
    readonly isLocalFallbackEnabled?: boolean;
}
