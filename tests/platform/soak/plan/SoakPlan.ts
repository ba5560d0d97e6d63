import type { SoakFault } from "./SoakFault.js";
import type { SoakProfile } from "./SoakProfile.js";

/** What happens in a run of the soak. */
export interface SoakPlan {
    readonly seed: number;
    readonly profile: SoakProfile;
    readonly hosts: number;
    /** Availability zones over which hosts and upstreams are spread; evacuations of zones are going to name one. */
    readonly zones: number;
    readonly upstreamsPerService: number;
    /** Number of steps until the last fault ends. */
    readonly steps: number;
    readonly faults: readonly SoakFault[];
}
