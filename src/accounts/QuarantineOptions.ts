import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** The dependencies of a quarantine, and its threshold. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly decisionLog: DecisionLog;
    /** Number of crashes from which on a request is refused; 2 if undefined. */
    readonly crashThreshold?: number;
}
