import type { PreparedAnswer } from "./PreparedAnswer.js";

/** A decoded request of a connection that has not been passed on yet. */
export interface PreparedRequest {
    /** Whether the request may run before the earlier requests of its connection have been answered. */
    readonly canRunAhead: boolean;
    /**
     * Runs the request; never rejects.
     * @param signal - Aborted when the caller has left.
     */
    run(signal: AbortSignal): Promise<PreparedAnswer>;
}
