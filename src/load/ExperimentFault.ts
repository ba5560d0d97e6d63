import type { Experiment } from "./Experiment.js";

/** A fault of an experiment. */
export type ExperimentFault = Experiment["faults"][number];
