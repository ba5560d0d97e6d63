import type { PeerForwarder } from "../forwarding/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { Store } from "../store/index.js";
import type { Clock } from "../time/index.js";

/** The dependencies of the deduplication of orders. */
export interface OrderRunnerOptions {
    readonly clock: Clock;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly forwarder: PeerForwarder;
    readonly handlers: PeerHandlers;
    readonly store: Store;
    readonly decisionLog: DecisionLog;
}
