/** One claim as it stands in the store. */
export interface ClaimEntry {
    readonly claimId: string;
    readonly memberId: string;
    readonly incarnation: string;
    /** When it was made, in minutes since the Unix epoch. */
    readonly minute: number;
}
