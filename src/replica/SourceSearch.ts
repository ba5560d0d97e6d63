import type { Member } from "../head/index.js";
import { RendezvousTable } from "../membership/index.js";
import type { Clock } from "../time/index.js";

/** Hosts that are asked at once. */
const WIDTH = 2;
/** Pause between the first rounds, in milliseconds. */
const FIRST_PAUSE_MS = 300;
const FIRST_ROUNDS = 6;
/** Pause between later rounds, in milliseconds. */
const LATER_PAUSE_MS = 1_000;

/** Selects the hosts that are asked while a host's source doesn't help, in an order of its own. */
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

    /** Whether hosts are being asked. */
    isRunning(): boolean {
        return this.#rounds > 0;
    }

    /** Stops; the next search begins anew. */
    stop(): void {
        this.#rounds = 0;
        this.#asked.clear();
        this.#nextTime = Number.NEGATIVE_INFINITY;
    }

    /**
     * Selects whom to ask now, one host of this zone and one of another; none while it is too soon.
     * @param candidates - The hosts that may be asked.
     */
    selectNext(candidates: readonly Member[]): readonly Member[] {
        if (this.#clock.getTime() < this.#nextTime) {
            return [];
        }
        this.#rounds++;
        this.#nextTime = this.#clock.getTime() + (this.#rounds < FIRST_ROUNDS ? FIRST_PAUSE_MS : LATER_PAUSE_MS);
        let unasked = candidates.filter(member => !this.#asked.has(member.id));
        if (unasked.length === 0) {
            this.#asked.clear();
            unasked = [...candidates];
        }
        const order = new RendezvousTable(unasked).getRanking(this.#self.id);
        const near = order.find(member => member.zone === this.#self.zone);
        const far = order.find(member => member.zone !== this.#self.zone);
        const chosen = [near, far].filter(member => member !== undefined);
        const selected = [...new Set([...chosen, ...order])].slice(0, WIDTH);
        selected.forEach(member => this.#asked.add(member.id));
        return selected;
    }
}
