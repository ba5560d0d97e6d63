import type { Dispatcher } from "../accounts/index.js";
import type { SuppliedConfiguration } from "../configuration/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { RateLimiter } from "../rates/index.js";
import type { Clock } from "../time/index.js";

/** What the gateway works with. */
export interface GatewayOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly limiter: RateLimiter;
    readonly dispatcher: Pick<Dispatcher, "run">;
    /** Gets the configuration in force; undefined before the first. */
    readonly getConfiguration: () => SuppliedConfiguration | undefined;
    /** Gets how long ago the configuration is known to have been current, in milliseconds. */
    readonly getCopyAge: () => number;
    /**
     * Makes the configuration known to have been current at most so many milliseconds ago; false if that is not to be had
     * at once.
     */
    readonly checkCopyAge: (maxAgeMs: number) => Promise<boolean>;
}
