/** What a host knows of the head and of the members. */
export interface GossipAnswer {
    /** The member id of the host that answers. */
    readonly from: string;
    readonly incarnation: string;
    /** The head version that this host has installed; 0 if none. */
    readonly headVersion: number;
    /** Names the order of the members in `ages`. */
    readonly layout: string;
    /** For each member the age at which it is known to have had no newer head than this one; see encodeAges. */
    readonly ages: string;
    /** The age of the newest confirmation by the store that there is no newer head; see encodeAges. */
    readonly storeAge: string;
}
