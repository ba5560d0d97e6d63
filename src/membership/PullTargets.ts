import type { Member } from "../head/index.js";
import type { RandomSource } from "../random/index.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { StoppedMembers } from "./StoppedMembers.js";

const HEARD_SHARE = 0.9;

/** What the choice of targets works with. */
interface PullTargetsOptions {
    readonly random: RandomSource;
    readonly tracker: HeadTracker;
    readonly stopped: StoppedMembers;
    readonly self: Member;
    readonly seedAddresses: readonly string[];
    readonly isReachable: (memberId: string) => boolean;
}

/** Selects whom to pull from: mostly members heard of lately, now and then any. */
export class PullTargets {
    readonly #options: PullTargetsOptions;

    /** @param options - What it works with. */
    constructor(options: PullTargetsOptions) {
        this.#options = options;
    }

    /** Finds the address to pull from next. */
    findNext(): string | undefined {
        const { random, isReachable } = this.#options;
        const others = this.#getOthers();
        const heard = others.filter(member => isReachable(member.id)).map(member => member.peerAddress);
        if (heard.length > 0 && random.getNext() < HEARD_SHARE) {
            return this.#selectOne(heard);
        }
        const isKnown = others.length > 0;
        return this.#selectOne(isKnown ? others.map(member => member.peerAddress) : this.#getStartAddresses());
    }

    /**
     * Finds the member id of an address.
     * @param address - The peer address.
     */
    findMemberId(address: string): string | undefined {
        return this.#getOthers().find(member => member.peerAddress === address)?.id;
    }

    /**
     * Finds members to probe an address through.
     * @param address - The peer address to probe.
     * @param count - How many to find.
     */
    findProbeRelays(address: string, count: number): readonly string[] {
        const helpers = this.#getOthers().filter(member =>
            member.peerAddress !== address && this.#options.isReachable(member.id)
        ).map(member => member.peerAddress);
        while (helpers.length > count) {
            helpers.splice(Math.floor(this.#options.random.getNext() * helpers.length), 1);
        }
        return helpers;
    }

    #getOthers(): readonly Member[] {
        const head = this.#options.tracker.getHead();
        const members = head === undefined ? [] : getHeadMembers(head);
        return members.filter(member => member.id !== this.#options.self.id);
    }

    #getStartAddresses(): readonly string[] {
        const { seedAddresses, stopped, self } = this.#options;
        const addresses = new Set([...seedAddresses, ...stopped.getListedAddresses()]);
        return [...addresses].filter(address => address !== self.peerAddress);
    }

    #selectOne(addresses: readonly string[]): string | undefined {
        return addresses[Math.floor(this.#options.random.getNext() * addresses.length)];
    }
}
