import type { RandomSource } from "../../random/index.js";
import type { Clock } from "../../time/index.js";

/** The dependencies of a part selector. */
export interface PartSelectorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** This host's availability zone, preferred while it has free slots. */
    readonly ownZone: string;
}
