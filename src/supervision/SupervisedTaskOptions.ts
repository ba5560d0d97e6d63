import type { Clock } from "../time/index.js";

/** A task and its dependencies. */
export interface SupervisedTaskOptions {
    readonly name: string;
    readonly clock: Clock;
    /** Runs the task; must end when the signal is aborted. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Receives the error of each failed run. */
    readonly reportFailure: (error: unknown) => void;
}
