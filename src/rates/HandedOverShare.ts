/** The share of one account that a host hands over. */
export interface HandedOverShare {
    readonly account: string;
    /** Whole tokens of the burst. */
    readonly burst: number;
    /** Tokens in the sender's bucket. */
    readonly tokens: number;
}
