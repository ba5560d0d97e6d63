import { isDeepStrictEqual } from "node:util";
import type { Member, MembershipView } from "../head/index.js";
import { compareMembers } from "./compareMembers.js";
import { getAccountKey } from "./getAccountKey.js";
import type { Membership } from "./Membership.js";
import type { PeerReachability } from "./PeerReachability.js";
import { RendezvousTable } from "./RendezvousTable.js";

type ViewListener = (view: MembershipView, previous: MembershipView) => void;

const ACCOUNT_HOST_CANDIDATES = 3;
const SERVICE_HOST_CANDIDATES = 3;

/** A membership whose view comes from the hosts' registry entries in the platform's store. */
export class RegisteredMembership implements Membership {
    readonly #self: Member;
    readonly #reachability: PeerReachability;
    readonly #listeners: ViewListener[] = [];
    #isLeaving = false;
    #view: MembershipView = { version: 0, members: [] };
    #table = new RendezvousTable([]);

    /**
     * @param self - This host's own entry.
     * @param reachability - Tells which other hosts answer.
     */
    constructor(self: Member, reachability: PeerReachability) {
        this.#self = self;
        this.#reachability = reachability;
    }

    /** Gets this entry host's own entry. */
    getSelf(): Member {
        return this.#self;
    }

    /** Gets the active view. */
    getView(): MembershipView {
        return this.#view;
    }

    /** Whether the view has members, from which hosts can be selected for accounts and services. */
    isCurrent(): boolean {
        return this.#view.members.length > 0;
    }

    /**
     * Whether a member is not known to be unreachable.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean {
        return !this.#reachability.isUnreachable(memberId);
    }

    /**
     * Whether this host has contact with no other host of a fleet of several. A leaving host gets no more messages, so
     * their absence doesn't mean a network partition.
     */
    isIsolated(): boolean {
        return !this.#isLeaving && this.#view.members.length > 1 && this.#reachability.isIsolated();
    }

    /** Records that this host is leaving the fleet. */
    leave(): void {
        this.#isLeaving = true;
    }

    /**
     * Gets the account hosts of a client account, which enforce its rate limit, first choice first.
     * @param account - The account's name; undefined for callers without an API key.
     */
    getAccountHosts(account: string | undefined): readonly Member[] {
        return this.#table.selectAcrossZones(getAccountKey(account), ACCOUNT_HOST_CANDIDATES);
    }

    /**
     * Gets the service hosts of a part of a service, first choice first.
     * @param service - The service's name.
     * @param zone - The availability zone of the upstreams.
     * @param partKey - Identifies the part of the service; the zone if the service is not divided within it.
     */
    getServiceHosts(service: string, zone: string, partKey = zone): readonly Member[] {
        return this.#table.selectInZone(`service ${service} ${partKey}`, zone, SERVICE_HOST_CANDIDATES);
    }

    /** Gets the members of each availability zone in the order in which they replicate the store. */
    getWatchRankings(): readonly (readonly Member[])[] {
        return this.#table.getZoneRankings("watch");
    }

    /**
     * Adds a listener that runs after each change of the active view.
     * @param listener - Receives the new and the previous view.
     */
    addViewListener(listener: ViewListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Makes the currently registered hosts the active view.
     * @param members - The entries of the hosts.
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
