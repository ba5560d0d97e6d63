import type { PeerForwarder } from "../forwarding/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { AccountRunner } from "../requests/index.js";
import type { Clock } from "../time/index.js";

/** What the routing of requests to account hosts needs. */
export interface AccountRouterOptions {
    readonly clock: Clock;
    readonly decisionLog: DecisionLog;
    /** This entry host in its role as account host. */
    readonly local: AccountRunner;
    readonly membership: Membership;
    readonly forwarder: PeerForwarder;
}
