import type { Member } from "../head/index.js";
import { getMixedHash, getTextHash } from "../utils/index.js";

const MAX_CACHED_KEYS = 20_000;

/** Number of possible hash values. */
const HASH_COUNT = 2 ** 32;
/**
 * Exponent of the capacity in a member's weight. The load of a key is not divided among members, so many small members
 * can't replace a large one, and weights proportional to the capacity would overload some of the small ones.
 */
const CAPACITY_EXPONENT = 2;

/** Selects members for keys by rendezvous hashing, which moves few keys when the view changes. */
export class RendezvousTable {
    readonly #members: readonly Member[];
    readonly #hashes: Uint32Array;
    readonly #cache = new Map<string, readonly Member[]>();
    readonly #zoneRankings = new Map<string, readonly (readonly Member[])[]>();

    /** @param members - The members to select from. */
    constructor(members: readonly Member[]) {
        this.#members = members;
        this.#hashes = Uint32Array.from(members, member => getTextHash(member.id));
    }

    /**
     * Selects members for a key, first choice first, with one of each availability zone before a second of any zone.
     * @param key - The key.
     * @param count - The maximum number of members.
     */
    selectAcrossZones(key: string, count: number): readonly Member[] {
        return this.#getCached(`${count} across ${key}`, () => {
            return this.#select(this.#getScores(key), count, true, () => true);
        });
    }

    /**
     * Selects members of one availability zone for a key, first choice first; of all zones if that one has no members.
     * Large members are preferred by more than their share of the capacity; see CAPACITY_EXPONENT.
     * @param key - The key.
     * @param zone - The availability zone.
     * @param count - The maximum number of members.
     */
    selectInZone(key: string, zone: string, count: number): readonly Member[] {
        return this.#getCached(JSON.stringify([count, zone, key]), () => {
            const isInZone = (member: Member): boolean => member.zone === zone;
            const hasZone = this.#members.some(isInZone);
            const scores = this.#getWeightedScores(key);
            return this.#select(scores, count, false, hasZone ? isInZone : () => true);
        });
    }

    /**
     * Gets all members ranked for a key, regardless of their capacity.
     * @param key - The key.
     */
    getRanking(key: string): readonly Member[] {
        return this.#getCached(`all ${key}`, () => {
            return this.#getSorted(this.#getScores(key));
        });
    }

    /**
     * Gets the members of each availability zone ranked for a key, with the zones sorted by name. Large members are
     * preferred as in selectInZone.
     * @param key - The key.
     */
    getZoneRankings(key: string): readonly (readonly Member[])[] {
        let rankings = this.#zoneRankings.get(key);
        if (rankings === undefined) {
            const members = this.#getSorted(this.#getWeightedScores(key));
            const zones = [...new Set(members.map(member => member.zone))].sort();
            rankings = zones.map(zone => members.filter(member => member.zone === zone));
            this.#zoneRankings.set(key, rankings);
        }
        return rankings;
    }

    #getSorted(scores: ArrayLike<number>): readonly Member[] {
        const indexes = this.#members.map((_, index) => index);
        indexes.sort((left, right) => scores[right]! - scores[left]! || left - right);
        return indexes.map(index => this.#members[index]!);
    }

    #select(
        scores: ArrayLike<number>,
        count: number,
        isSpreadAcrossZones: boolean,
        isAllowed: (member: Member) => boolean,
    ): readonly Member[] {
        const selected = new Set<Member>();
        const zones = new Set<string>();
        while (selected.size < count) {
            const next = this.#findBest(scores, member =>
                isAllowed(member) && !selected.has(member) &&
                !(isSpreadAcrossZones && zones.has(member.zone))) ??
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

    /** Gets the scores weighted by capacity; members with equal capacity keep the order of their hashes. */
    #getWeightedScores(key: string): Float64Array {
        const scores = this.#getScores(key);
        return Float64Array.from(this.#members, ({ capacity = 1 }, index) => {
            const fraction = (scores[index]! + 0.5) / HASH_COUNT;
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
