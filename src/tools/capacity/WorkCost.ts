/** What a piece of work cost. */
export interface WorkCost {
    /** Processor time in microseconds. */
    readonly cpuUs: number;
    /** Heap that it left in use, in bytes. */
    readonly bytes: number;
}
