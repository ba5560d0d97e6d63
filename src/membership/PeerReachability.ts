/** Which other hosts this host can reach. */
export interface PeerReachability {
    /**
     * Whether a member is known not to answer.
     * @param memberId - The member's id.
     */
    isUnreachable(memberId: string): boolean;
    /** Whether no other host has called or answered recently. */
    isIsolated(): boolean;
}
