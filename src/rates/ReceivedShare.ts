/** A share of an account's burst that another host has handed over to this one. */
export interface ReceivedShare {
    /** Whole tokens. */
    readonly burst: number;
    /** The member that held the share before. */
    readonly memberId: string;
    /** Whether it replaces this host's own share during the hold-off; otherwise it is added to it. */
    readonly isReplacement: boolean;
}
