import type { Clock } from "../time/index.js";
import type { CallerTransport } from "./CallerTransport.js";
import type { Experiment } from "./Experiment.js";

/** What a run of the load tool is built from. */
export interface LoadRunOptions {
    readonly experiment: Experiment;
    readonly clock: Clock;
    /** Creates the transport of one caller. */
    readonly createTransport: () => CallerTransport;
}
