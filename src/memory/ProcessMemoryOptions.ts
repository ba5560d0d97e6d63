import type { DecisionLog } from "../logging/index.js";
import type { Clock } from "../time/index.js";

/** Dependencies and settings of the memory of a process. */
export interface ProcessMemoryOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    /** The memory of the machine, in bytes. */
    readonly memoryBytes: number;
    /** Gets the time in which the next bytes of a body must come, in milliseconds. */
    readonly getIdleTimeout: () => number;
    /** Collects the young generation; undefined if the process can't ask for it. */
    readonly collect: (() => void) | undefined;
}
