import type { Member, MembershipView } from "../head/index.js";

/** What the other parts of an entry host ask of the membership. */
export interface Membership {
    /** Gets this entry host's own entry. */
    getSelf(): Member;
    /** Gets the view in force. */
    getView(): MembershipView;
    /** Whether this host may serve: its head version was confirmed within the freshness bound. */
    isCurrent(): boolean;
    /**
     * Whether a member has answered lately, directly or through another member.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean;
    /** Whether this host hears no other host of the fleet; left out where that is not known. */
    isIsolated?(): boolean;
    /**
     * Gets the account hosts of a client account, first choice first.
     * @param account - The account's name.
     * @param view - The view to look in; the view in force if undefined.
     */
    getAccountHosts(account: string, view?: MembershipView): readonly Member[];
    /**
     * Gets the service hosts of a part of a service, first choice first.
     * @param service - The service's name.
     * @param zone - The availability zone of the upstreams.
     * @param partKey - What tells the part from the service's others; the zone if that is not divided.
     */
    getServiceHosts(service: string, zone: string, partKey?: string): readonly Member[];
    /**
     * Adds a listener that runs after each change of the view in force.
     * @param listener - Receives the new and the previous view.
     */
    addViewListener(listener: (view: MembershipView, previous: MembershipView) => void): void;
}
