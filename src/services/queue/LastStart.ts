import type { NotRunOutcome } from "../../outcomes/index.js";

/** Until when a request can start and be expected to end before a stopping host aborts it. */
export interface LastStart {
    /** Time in milliseconds of the clock. */
    readonly time: number;
    /** The refusal of a request that has not started by then. */
    readonly refusal: NotRunOutcome;
}
