import type { DecisionLog } from "../../logging/index.js";
import type { RandomSource } from "../../random/index.js";
import type { Clock } from "../../time/index.js";
import type { EjectionPolicy } from "./EjectionPolicy.js";
import type { ServiceBaseline } from "./ServiceBaseline.js";

/** The dependencies of an outlier detector. */
export interface OutlierDetectorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly policy: EjectionPolicy;
    readonly baseline: ServiceBaseline;
    /** Whether other parts of the service have free capacity for this part's requests. */
    readonly hasCapacityElsewhere: () => boolean;
    /** Called when the number of slots that may be used has changed. */
    readonly onCapacityChange: () => void;
}
