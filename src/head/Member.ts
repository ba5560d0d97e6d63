/** An entry host in the membership view. */
export interface Member {
    /** Stays with the address over restarts. */
    readonly id: string;
    readonly region: string;
    readonly zone: string;
    /** Where peers reach it, as "ip:port". */
    readonly peerAddress: string;
    /** Where callers reach it, as "ip:port". */
    readonly callerAddress: string;
    /** Differs for every start of the process. */
    readonly incarnation: string;
    /** How much work it can do beside other hosts, above 0; 1 if left out. */
    readonly capacity?: number;
}
