import type { Member } from "../head/index.js";
import { RendezvousTable } from "../membership/index.js";
import type { Clock } from "../time/index.js";

/** Hosts that are asked at once in a round. */
const HOSTS_PER_ROUND = 2;
/** Time between the first rounds, in milliseconds. */
const FIRST_INTERVAL_MS = 300;
const FIRST_ROUNDS = 6;
/** Time between later rounds, in milliseconds. */
const LATER_INTERVAL_MS = 1_000;

/** Selects the hosts to pull from while this host's source is not useful, in an order that differs from host to host. */
export class SourceSearch {
    readonly #clock: Clock;
    readonly #self: Member;
    readonly #asked = new Set<string>();
    #rounds = 0;
    #nextTime = Number.NEGATIVE_INFINITY;

    /**
     * @param clock - The source of time.
     * @param self - This host.
     */
    constructor(clock: Clock, self: Member) {
        this.#clock = clock;
        this.#self = self;
    }

    /** Whether a search is running. */
    isRunning(): boolean {
        return this.#rounds > 0;
    }

    /** Stops the search; the next one starts from the first round. */
    stop(): void {
        this.#rounds = 0;
        this.#asked.clear();
        this.#nextTime = Number.NEGATIVE_INFINITY;
    }

    /**
     * Selects the hosts of the next round, one in this zone and one in another; none before the next round is due.
     * @param candidates - The hosts that may be asked.
     */
    selectNext(candidates: readonly Member[]): readonly Member[] {
        if (this.#clock.getTime() < this.#nextTime) {
            return [];
        }
        this.#rounds++;
        this.#nextTime = this.#clock.getTime() + (this.#rounds < FIRST_ROUNDS ? FIRST_INTERVAL_MS : LATER_INTERVAL_MS);
        let unasked = candidates.filter(member => !this.#asked.has(member.id));
        if (unasked.length === 0) {
            this.#asked.clear();
            unasked = [...candidates];
        }
        const ranking = new RendezvousTable(unasked).getRanking(this.#self.id);
        const sameZone = ranking.find(member => member.zone === this.#self.zone);
        const otherZone = ranking.find(member => member.zone !== this.#self.zone);
        const chosen = [sameZone, otherZone].filter(member => member !== undefined);
        const selected = [...new Set([...chosen, ...ranking])].slice(0, HOSTS_PER_ROUND);
        selected.forEach(member => this.#asked.add(member.id));
        return selected;
    }
}
