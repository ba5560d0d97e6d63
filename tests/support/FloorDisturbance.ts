/** What is wrong in a load that checks the floor, from a start to an end. */
export interface FloorDisturbance {
    /** In milliseconds. */
    readonly start: number;
    /** In milliseconds. */
    readonly end: number;
    /** Share of the upstreams that are disturbed, which the floor does not count. */
    readonly upstreams: number;
    /** Share of the hosts that don't reach the disturbed upstreams. */
    readonly hosts: number;
    /** Whether these hosts don't answer other hosts either. */
    readonly areHostsSilent: boolean;
    /** Share of the orders that are refused before they reach a pool. */
    readonly refused: number;
}
