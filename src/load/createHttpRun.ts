import type { Clock } from "../time/index.js";
import type { Experiment } from "./Experiment.js";
import { HttpCallerTransport } from "./HttpCallerTransport.js";
import { LoadRun } from "./LoadRun.js";

/**
 * Creates a run of an experiment over HTTP.
 * @param experiment - The experiment.
 * @param clock - The source of time.
 */
export function createHttpRun(experiment: Experiment, clock: Clock): LoadRun {
    const createTransport = (): HttpCallerTransport =>
        new HttpCallerTransport(experiment.connectTimeoutMs, experiment.answerTimeoutMs, experiment.requestsAhead);
    return new LoadRun({ experiment, clock, createTransport });
}
