/** One claim as stored. */
export interface ClaimEntry {
    readonly claimId: string;
    readonly memberId: string;
    readonly incarnation: string;
    /** Time of the claim, in minutes since the Unix epoch. */
    readonly minute: number;
}
