/** An entry host in the membership view. */
export interface Member {
    /** Stays the same when the process restarts on its address. */
    readonly id: string;
    readonly region: string;
    readonly zone: string;
    /** Address for peers, as "ip:port". */
    readonly peerAddress: string;
    /** Address for callers, as "ip:port". */
    readonly callerAddress: string;
    /** Differs for every start of the process. */
    readonly incarnation: string;
    /** Capacity relative to other hosts, above 0; 1 if left out. */
    readonly capacity?: number;
}
