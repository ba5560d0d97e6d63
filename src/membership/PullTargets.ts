import type { Member } from "../head/index.js";
import type { RandomSource } from "../random/index.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { StoppedMembers } from "./StoppedMembers.js";

const REACHABLE_TARGET_SHARE = 0.9;

/** Dependencies of the target selection. */
interface PullTargetsOptions {
    readonly random: RandomSource;
    readonly tracker: HeadTracker;
    readonly stopped: StoppedMembers;
    readonly self: Member;
    readonly seedAddresses: readonly string[];
    readonly isReachable: (memberId: string) => boolean;
}

/** Selects the hosts to pull from: mostly reachable members, sometimes any member. */
export class PullTargets {
    readonly #options: PullTargetsOptions;

    /** @param options - Dependencies and settings. */
    constructor(options: PullTargetsOptions) {
        this.#options = options;
    }

    /** Finds the address to pull from next. */
    findNext(): string | undefined {
        const { random, isReachable } = this.#options;
        const others = this.#getOthers();
        const reachable = others.filter(member => isReachable(member.id)).map(member => member.peerAddress);
        if (reachable.length > 0 && random.getNext() < REACHABLE_TARGET_SHARE) {
            return this.#selectOne(reachable);
        }
        const hasMembers = others.length > 0;
        return this.#selectOne(hasMembers ? others.map(member => member.peerAddress) : this.#getBootstrapAddresses());
    }

    /**
     * Finds the member id of an address.
     * @param address - The peer address.
     */
    findMemberId(address: string): string | undefined {
        return this.#getOthers().find(member => member.peerAddress === address)?.id;
    }

    /**
     * Finds the peer addresses of members that can probe an address for this host.
     * @param address - The peer address to probe.
     * @param count - The maximum number of members.
     */
    findProbeRelays(address: string, count: number): readonly string[] {
        const relays = this.#getOthers().filter(member =>
            member.peerAddress !== address && this.#options.isReachable(member.id)
        ).map(member => member.peerAddress);
        while (relays.length > count) {
            relays.splice(Math.floor(this.#options.random.getNext() * relays.length), 1);
        }
        return relays;
    }

    #getOthers(): readonly Member[] {
        const head = this.#options.tracker.getHead();
        const members = head === undefined ? [] : getHeadMembers(head);
        return members.filter(member => member.id !== this.#options.self.id);
    }

    #getBootstrapAddresses(): readonly string[] {
        const { seedAddresses, stopped, self } = this.#options;
        const addresses = new Set([...seedAddresses, ...stopped.getListedAddresses()]);
        return [...addresses].filter(address => address !== self.peerAddress);
    }

    #selectOne(addresses: readonly string[]): string | undefined {
        return addresses[Math.floor(this.#options.random.getNext() * addresses.length)];
    }
}
