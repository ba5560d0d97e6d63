/** What a host knows of its contact with the others. */
export interface PeerReachability {
    /**
     * Whether a member is known not to answer.
     * @param memberId - The member's id.
     */
    isUnreachable(memberId: string): boolean;
    /** Whether no other host is heard. */
    isIsolated(): boolean;
}
