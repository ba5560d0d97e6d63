import { isDeepStrictEqual } from "node:util";
import type { Member, MembershipView } from "../head/index.js";
import { compareMembers } from "./compareMembers.js";
import type { Membership } from "./Membership.js";
import type { PeerReachability } from "./PeerReachability.js";
import { RendezvousTable } from "./RendezvousTable.js";

type ViewListener = (view: MembershipView, previous: MembershipView) => void;

const ACCOUNT_HOST_CANDIDATES = 3;
const SERVICE_HOST_CANDIDATES = 3;

/** A membership whose view is read from the hosts' entries in the platform's store. */
export class RegisteredMembership implements Membership {
    readonly #self: Member;
    readonly #contact: PeerReachability;
    readonly #listeners: ViewListener[] = [];
    #isLeaving = false;
    #view: MembershipView = { version: 0, members: [] };
    #table = new RendezvousTable([]);

    /**
     * @param self - This host's own entry.
     * @param contact - Which other hosts answer.
     */
    constructor(self: Member, contact: PeerReachability) {
        this.#self = self;
        this.#contact = contact;
    }

    /** Gets this entry host's own entry. */
    getSelf(): Member {
        return this.#self;
    }

    /** Gets the view in force. */
    getView(): MembershipView {
        return this.#view;
    }

    /** Whether this host knows any other or itself, so that duties can be found. */
    isCurrent(): boolean {
        return this.#view.members.length > 0;
    }

    /**
     * Whether a member is not known to be away.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean {
        return !this.#contact.isUnreachable(memberId);
    }

    /**
     * Whether this host hears no other host of a fleet of several. One that leaves is told nothing any more, which is no sign
     * of a cut.
     */
    isIsolated(): boolean {
        return !this.#isLeaving && this.#view.members.length > 1 && this.#contact.isIsolated();
    }

    /** Records that this host leaves the fleet. */
    leave(): void {
        this.#isLeaving = true;
    }

    /**
     * Gets the hosts that keep an account's rate, first choice first.
     * @param account - The account's name.
     */
    getAccountHosts(account: string): readonly Member[] {
        return this.#table.selectAcrossZones(`account ${account}`, ACCOUNT_HOST_CANDIDATES);
    }

    /**
     * Gets the service hosts of a part of a service, first choice first.
     * @param service - The service's name.
     * @param zone - The availability zone of the upstreams.
     * @param partKey - What tells the part from the service's others; the zone if that is not divided.
     */
    getServiceHosts(service: string, zone: string, partKey = zone): readonly Member[] {
        return this.#table.selectInZone(`service ${service} ${partKey}`, zone, SERVICE_HOST_CANDIDATES);
    }

    /** Gets the members of each availability zone in the order in which they take their copies of the store. */
    getWatchRankings(): readonly (readonly Member[])[] {
        return this.#table.getZoneRankings("watch");
    }

    /**
     * Adds a listener that runs after each change of the view in force.
     * @param listener - Receives the new and the previous view.
     */
    addViewListener(listener: ViewListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Puts the hosts that are registered now in force.
     * @param members - The hosts.
     */
    applyMembers(members: readonly Member[]): void {
        const previous = this.#view;
        const sorted = [...members].sort(compareMembers);
        if (isDeepStrictEqual(sorted, previous.members)) {
            return;
        }
        this.#view = { version: previous.version + 1, members: sorted };
        this.#table = new RendezvousTable(sorted);
        this.#listeners.forEach(listener => listener(this.#view, previous));
    }
}
