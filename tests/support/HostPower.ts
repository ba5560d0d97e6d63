/** What an entry host can carry. */
export interface HostPower {
    /** Part of a core. */
    readonly cores: number;
    /** Rate of its link in each direction, in megabits a second. */
    readonly linkMbps: number;
}
