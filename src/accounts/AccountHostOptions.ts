import type { Configuration } from "../configuration/index.js";
import type { PeerForwarder } from "../forwarding/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { RatePolicy } from "../rates/index.js";
import type { ServiceRunner, UpstreamNotices } from "../services/index.js";
import type { Store } from "../store/index.js";
import type { Clock } from "../time/index.js";

/** The dependencies of an account host. */
export interface AccountHostOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly forwarder: PeerForwarder;
    readonly store: Store;
    /** The service host of this process. */
    readonly serviceRunner: ServiceRunner;
    readonly decisionLog: DecisionLog;
    /** Keeps what upstreams tell other hosts, in case this host has to send to them itself. */
    readonly notices?: UpstreamNotices;
    /** Gets the current configuration. */
    readonly getConfiguration: () => Configuration;
    /** How the account's rate is divided among its hosts; shared if undefined. */
    readonly ratePolicy?: RatePolicy;
}
