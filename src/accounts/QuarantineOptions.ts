import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** What the quarantine works with. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly decisionLog: DecisionLog;
    /** Crashes of one request from which on it is refused; 2 if undefined. */
    readonly crashThreshold?: number;
}
