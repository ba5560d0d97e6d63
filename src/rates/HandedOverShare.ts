/** One account's share that a host gives up. */
export interface HandedOverShare {
    readonly account: string;
    /** Whole tokens of the burst. */
    readonly burst: number;
    /** Tokens that the giver held. */
    readonly tokens: number;
}
