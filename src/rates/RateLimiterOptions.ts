import type { Configuration } from "../configuration/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** What a rate limiter works with. */
export interface RateLimiterOptions {
    readonly clock: Clock;
    readonly membership: Membership;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly decisionLog: DecisionLog;
    /** Gets the configuration in force. */
    readonly getConfiguration: () => Configuration;
    /** Whether a request is refused for good, by its fingerprint; only an account's owner is asked. */
    readonly isQuarantined?: (fingerprint: string) => boolean;
}
