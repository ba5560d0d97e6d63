import type { Configuration } from "../configuration/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** Dependencies of a rate limiter. */
export interface RateLimiterOptions {
    readonly clock: Clock;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly decisionLog: DecisionLog;
    /** Gets the configuration in force. */
    readonly getConfiguration: () => Configuration;
    /** Whether another host has lately not answered this one, so that hosts may be cut off; taken for true if undefined. */
    readonly hasPeerFailure?: () => boolean;
    /** Whether the request with a fingerprint is in quarantine and therefore always refused; called on an account's owners only. */
    readonly isQuarantined?: (fingerprint: string) => boolean;
}
