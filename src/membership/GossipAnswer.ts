/** A host's head version and the ages of its confirmations by the members and the store. */
export interface GossipAnswer {
    /** The member id of the answering host. */
    readonly from: string;
    readonly incarnation: string;
    /** The head version that the answering host has installed; 0 if none. */
    readonly headVersion: number;
    /** Key of the order of the members in `ages`. */
    readonly layout: string;
    /** For each member, the time since it was last known to have no newer head than `headVersion`; see encodeAges. */
    readonly ages: string;
    /** Time since the store last confirmed that there is no newer head; see encodeAges. */
    readonly storeAge: string;
}
