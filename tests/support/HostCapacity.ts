/** Processor and link of an entry host. */
export interface HostCapacity {
    /** Part of a core. */
    readonly cores: number;
    /** Rate of its link in each direction, in megabits a second. */
    readonly linkMbps: number;
}
