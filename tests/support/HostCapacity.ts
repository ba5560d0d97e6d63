/** Processor and link of an entry host. */
export interface HostCapacity {
    /** Number of cores; a part of a core is allowed. */
    readonly cores: number;
    /** Rate of its link in each direction, in megabits per second. */
    readonly linkMbps: number;
}
