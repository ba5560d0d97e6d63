import type { Clock } from "../time/index.js";

/** A task and what it needs. */
export interface SupervisedTaskOptions {
    readonly name: string;
    readonly clock: Clock;
    /** The task; it ends when the signal is aborted. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Receives what made the task fail. */
    readonly reportFailure: (error: unknown) => void;
}
