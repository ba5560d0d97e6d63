import type { SoakFleet } from "../faults/SoakFleet.js";
import type { SoakCall } from "../load/SoakCall.js";
import type { SoakArrival } from "./SoakArrival.js";
import type { SoakRun } from "./SoakRun.js";

/** What callers and upstreams saw in a run. */
export interface SoakEvidence {
    readonly calls: ReadonlyMap<string, SoakCall>;
    readonly runs: readonly SoakRun[];
    readonly arrivals: readonly SoakArrival[];
    readonly keys: Pick<SoakFleet["keys"], "find" | "all">;
    readonly disturbances: Pick<SoakFleet["disturbances"], "isCalm">;
    readonly leavingTimes: ReadonlyMap<string, number>;
    /** Names the link to an upstream among the disturbances, by the upstream's id. */
    readonly addresses: ReadonlyMap<string, string>;
    /** Finds the hosts that took part in a request, by its id. */
    readonly findHosts: (id: string) => readonly string[];
}
