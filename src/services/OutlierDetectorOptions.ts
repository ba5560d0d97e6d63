import type { DecisionLog } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { EjectionPolicy } from "./EjectionPolicy.js";
import type { ServiceBaseline } from "./ServiceBaseline.js";

/** What a judge of upstreams is made of. */
export interface OutlierDetectorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly policy: EjectionPolicy;
    readonly baseline: ServiceBaseline;
    /** Whether other parts of the service can take the work of this one. */
    readonly hasCapacityElsewhere: () => boolean;
    /** Runs after the work that the upstreams may take has changed. */
    readonly onCapacityChange: () => void;
}
