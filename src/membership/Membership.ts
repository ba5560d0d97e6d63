import type { Member, MembershipView } from "../head/index.js";

/** The membership as other parts of an entry host use it. */
export interface Membership {
    /** Gets this entry host's own entry. */
    getSelf(): Member;
    /** Gets the active view. */
    getView(): MembershipView;
    /** Whether this host may serve: its head version was confirmed within the freshness bound. */
    isCurrent(): boolean;
    /**
     * Whether a member has answered recently, directly or through another member.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean;
    /** Whether this host has contact with no other host of the fleet; left out if that is not known. */
    isIsolated?(): boolean;
    /**
     * Gets the account hosts of a client account, first choice first.
     * @param account - The account's name; undefined for callers without an API key.
     * @param view - The view to select from; the active view if undefined.
     */
    getAccountHosts(account: string | undefined, view?: MembershipView): readonly Member[];
    /**
     * Gets the service hosts of a part of a service, first choice first.
     * @param service - The service's name.
     * @param zone - The availability zone of the upstreams.
     * @param partKey - Identifies the part of the service; the zone if the service is not divided within it.
     */
    getServiceHosts(service: string, zone: string, partKey?: string): readonly Member[];
    /**
     * Adds a listener that runs after each change of the active view.
     * @param listener - Receives the new and the previous view.
     */
    addViewListener(listener: (view: MembershipView, previous: MembershipView) => void): void;
}
