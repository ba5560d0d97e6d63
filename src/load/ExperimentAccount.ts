import type { Experiment } from "./Experiment.js";

/** A client account of an experiment. */
export type ExperimentAccount = Experiment["accounts"][number];
