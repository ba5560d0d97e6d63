import type { Member } from "../head/index.js";
import { getMixedHash, getTextHash } from "../utils/index.js";

const MAX_CACHED_KEYS = 20_000;

/** Number of different hashes. */
const HASHES = 2 ** 32;
/**
 * Power of the capacity by which a member is chosen. What a key stands for is not divided, so many small members don't make up
 * for a large one, and a choice in proportion to the capacity burdens one of them with more than it can carry.
 */
const CAPACITY_EXPONENT = 2;

/** Selects members for keys by rendezvous hashing, so that a change of view moves few keys. */
export class RendezvousTable {
    readonly #members: readonly Member[];
    readonly #hashes: Uint32Array;
    readonly #cache = new Map<string, readonly Member[]>();
    readonly #zoneOrders = new Map<string, readonly (readonly Member[])[]>();

    /** @param members - The members to select from. */
    constructor(members: readonly Member[]) {
        this.#members = members;
        this.#hashes = Uint32Array.from(members, member => getTextHash(member.id));
    }

    /**
     * Selects members for a key, first choice first; one of each availability zone before a second of any.
     * @param key - The key.
     * @param count - How many to select.
     */
    selectAcrossZones(key: string, count: number): readonly Member[] {
        return this.#getCached(`${count} across ${key}`, () => {
            return this.#select(this.#getScores(key), count, true, () => true);
        });
    }

    /**
     * Selects members of one availability zone for a key, first choice first; of any zone if it has none. Large members are
     * preferred by more than their share of the capacity.
     * @param key - The key.
     * @param zone - The availability zone.
     * @param count - How many to select.
     */
    selectInZone(key: string, zone: string, count: number): readonly Member[] {
        return this.#getCached(`${count} in ${zone} ${key}`, () => {
            const isInZone = (member: Member): boolean => member.zone === zone;
            const hasZone = this.#members.some(isInZone);
            const scores = this.#getWeightedScores(key);
            return this.#select(scores, count, false, hasZone ? isInZone : () => true);
        });
    }

    /**
     * Gets all members in the order of a key, whatever their capacity.
     * @param key - The key.
     */
    getRanking(key: string): readonly Member[] {
        return this.#getCached(`all ${key}`, () => {
            return this.#getSorted(this.#getScores(key));
        });
    }

    /**
     * Gets the members of each availability zone in the order of a key, the zones by name. Large members are preferred as in
     * selectInZone.
     * @param key - The key.
     */
    getZoneRankings(key: string): readonly (readonly Member[])[] {
        let orders = this.#zoneOrders.get(key);
        if (orders === undefined) {
            const members = this.#getSorted(this.#getWeightedScores(key));
            const zones = [...new Set(members.map(member => member.zone))].sort();
            orders = zones.map(zone => members.filter(member => member.zone === zone));
            this.#zoneOrders.set(key, orders);
        }
        return orders;
    }

    #getSorted(scores: ArrayLike<number>): readonly Member[] {
        const order = this.#members.map((_, index) => index);
        order.sort((left, right) => scores[right]! - scores[left]! || left - right);
        return order.map(index => this.#members[index]!);
    }

    #select(
        scores: ArrayLike<number>,
        count: number,
        spreads: boolean,
        isAllowed: (member: Member) => boolean,
    ): readonly Member[] {
        const selected = new Set<Member>();
        const zones = new Set<string>();
        while (selected.size < count) {
            const next = this.#findBest(scores, member =>
                isAllowed(member) && !selected.has(member) &&
                !(spreads && zones.has(member.zone))) ??
                this.#findBest(scores, member => isAllowed(member) && !selected.has(member));
            if (next === undefined) {
                break;
            }
            selected.add(next);
            zones.add(next.zone);
        }
        return [...selected];
    }

    #findBest(scores: ArrayLike<number>, isAllowed: (member: Member) => boolean): Member | undefined {
        let best: Member | undefined;
        let bestScore = -1;
        for (let index = 0; index < scores.length; index++) {
            if (scores[index]! > bestScore && isAllowed(this.#members[index]!)) {
                best = this.#members[index]!;
                bestScore = scores[index]!;
            }
        }
        return best;
    }

    #getScores(key: string): Uint32Array {
        const keyHash = getTextHash(key);
        return this.#hashes.map(hash => getMixedHash(hash ^ keyHash));
    }

    /** Of members with equal capacity the one with the greater hash has the greater score. */
    #getWeightedScores(key: string): Float64Array {
        const scores = this.#getScores(key);
        return Float64Array.from(this.#members, ({ capacity = 1 }, index) => {
            const fraction = (scores[index]! + 0.5) / HASHES;
            return -(capacity ** CAPACITY_EXPONENT) / Math.log(fraction);
        });
    }

    #getCached(cacheKey: string, create: () => readonly Member[]): readonly Member[] {
        let members = this.#cache.get(cacheKey);
        if (members === undefined) {
            members = create();
            if (this.#cache.size >= MAX_CACHED_KEYS) {
                this.#cache.clear();
            }
            this.#cache.set(cacheKey, members);
        }
        return members;
    }
}
