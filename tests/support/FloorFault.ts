/** A fault during a load that checks the floor. */
export interface FloorFault {
    /** Start of the fault, in milliseconds of the clock. */
    readonly start: number;
    /** End of the fault, in milliseconds of the clock. */
    readonly end: number;
    /** Share of the upstreams that are cut off from some hosts, from 0 to 1; the floor does not count them. */
    readonly upstreams: number;
    /** Share of the hosts that are cut off from these upstreams, from 0 to 1. */
    readonly hosts: number;
    /** Whether these hosts don't answer other hosts either. */
    readonly areHostsSilent: boolean;
    /** Share of the orders that are refused before they reach a pool, from 0 to 1. */
    readonly refused: number;
}
