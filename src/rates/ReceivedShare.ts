/** A share of an account's burst that another host has handed over. */
export interface ReceivedShare {
    /** Whole tokens. */
    readonly burst: number;
    /** Whose share it was. */
    readonly memberId: string;
    /** Whether it stands in for this host's own share during the hold-off, rather than coming on top of it. */
    readonly isReplacement: boolean;
}
