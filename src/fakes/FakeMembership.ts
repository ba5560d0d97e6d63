import type { Member, MembershipView } from "../head/index.js";
import type { Membership } from "../membership/index.js";

type ViewListener = (view: MembershipView, previous: MembershipView) => void;

const ACCOUNT_HOST_COUNT = 3;
const HASH_FACTOR = 31;

/** One host's membership in memory; tests set its view and whether it is current. */
export class FakeMembership implements Membership {
    /** Whether the host may serve. */
    isHostCurrent = true;
    /** Ids of the members that are unreachable. */
    readonly unreachable = new Set<string>();
    readonly #self: Member;
    readonly #listeners: ViewListener[] = [];
    #view: MembershipView;

    /**
     * @param self - The host's own entry.
     * @param view - The first view.
     */
    constructor(self: Member, view: MembershipView) {
        this.#self = self;
        this.#view = view;
    }

    /** Gets this entry host's own entry. */
    getSelf(): Member {
        return this.#self;
    }

    /** Gets the view in force. */
    getView(): MembershipView {
        return this.#view;
    }

    /** Whether this host may serve. */
    isCurrent(): boolean {
        return this.isHostCurrent;
    }

    /**
     * Whether a member has answered recently.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean {
        return !this.unreachable.has(memberId);
    }

    /**
     * Gets the account hosts of a client account, first choice first.
     * @param account - The account's name; undefined for callers without an API key.
     * @param view - The view to look in.
     */
    getAccountHosts(account: string | undefined, view = this.#view): readonly Member[] {
        return getRanking(account ?? "", view.members).slice(0, ACCOUNT_HOST_COUNT);
    }

    /**
     * Gets the service hosts of a part of a service, first choice first.
     * @param service - The service's name.
     * @param zone - The availability zone.
     * @param partKey - Key of the part within the service; the zone if its upstreams are not divided.
     */
    getServiceHosts(service: string, zone: string, partKey = zone): readonly Member[] {
        const members = this.#view.members.filter(member => member.zone === zone);
        return getRanking(`${service}/${partKey}`, members);
    }

    /**
     * Adds a listener that runs after each change of the view.
     * @param listener - Receives the new and the previous view.
     */
    addViewListener(listener: ViewListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Applies a view on this host.
     * @param view - The view.
     */
    applyView(view: MembershipView): void {
        const previous = this.#view;
        this.#view = view;
        for (const listener of this.#listeners) {
            listener(view, previous);
        }
    }
}

function getRanking(key: string, members: readonly Member[]): readonly Member[] {
    const scored = members.map(member => ({ member, score: getHash(`${key}/${member.id}`) }));
    return scored.sort((first, second) => first.score - second.score).map(({ member }) => member);
}

function getHash(text: string): number {
    let hash = 0;
    for (const character of text) {
        hash = Math.imul(hash ^ character.charCodeAt(0), HASH_FACTOR) + (hash >>> 15);
    }
    return hash >>> 0;
}
