import type { Dispatcher } from "../accounts/index.js";
import type { SuppliedConfiguration } from "../configuration/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { RateLimiter } from "../rates/index.js";
import type { Clock } from "../time/index.js";

/** Dependencies of the gateway. */
export interface GatewayOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly limiter: RateLimiter;
    readonly dispatcher: Pick<Dispatcher, "run">;
    /** The statuses by which callers are told that a request was not run. */
    readonly notRunStatuses: ReadonlySet<number>;
    /** Gets the configuration in force; undefined before the first. */
    readonly getConfiguration: () => SuppliedConfiguration | undefined;
    /** Gets the time since the configuration was last known to be current, in milliseconds. */
    readonly getCopyAge: () => number;
    /**
     * Checks that the configuration was current at most `maxAgeMs` milliseconds ago, and refreshes an older one; false
     * if no refresh is possible at once.
     */
    readonly checkCopyAge: (maxAgeMs: number) => Promise<boolean>;
}
