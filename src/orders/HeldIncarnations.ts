import type { Membership } from "../membership/index.js";
import type { Clock } from "../time/index.js";
import { encodeKeyPrefix } from "./encodeKeyPrefix.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";
import type { OrderHolder } from "./OrderHolder.js";

const MS_PER_MINUTE = 60_000;

/** The incarnations whose orders this process may dispatch: its own and those handed over to it. */
export class HeldIncarnations {
    readonly #clock: Clock;
    readonly #membership: Membership;
    /** The start of each incarnation on this process's clock, in milliseconds. */
    readonly #starts = new Map<string, number>();
    /** When the incarnations of others were handed over, in milliseconds. */
    readonly #addTimes = new Map<string, number>();

    /**
     * @param clock - The source of time.
     * @param membership - Knows this process's own entry.
     */
    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
        this.#starts.set(getId(membership.getSelf()), clock.getTime());
    }

    /** Creates a prefix of this process as of now. */
    createKeyPrefix(): string {
        const { id, incarnation } = this.#membership.getSelf();
        const ageMs = this.getAge({ memberId: id, incarnation }) ?? 0;
        return encodeKeyPrefix({ memberId: id, incarnation, minute: Math.floor(ageMs / MS_PER_MINUTE) });
    }

    /**
     * Gets the time since the start of an incarnation in milliseconds; undefined if it isn't held here.
     * @param holder - The incarnation.
     */
    getAge(holder: OrderHolder): number | undefined {
        const start = this.#starts.get(getId({ id: holder.memberId, incarnation: holder.incarnation }));
        return start === undefined ? undefined : this.#clock.getTime() - start;
    }

    /** Gets the incarnations held. */
    getAll(): readonly OrderHolder[] {
        return [...this.#starts.keys()].map(id => {
            const [memberId, incarnation] = JSON.parse(id) as [string, string];
            return { memberId, incarnation };
        });
    }

    /**
     * Adds an incarnation that was handed over.
     * @param holder - The incarnation.
     * @param ageMs - The time since its start in milliseconds.
     */
    add(holder: OrderHolder, ageMs: number): void {
        const id = getId({ id: holder.memberId, incarnation: holder.incarnation });
        this.#starts.set(id, this.#clock.getTime() - ageMs);
        this.#addTimes.set(id, this.#clock.getTime());
    }

    /** Removes the incarnations of others whose keys have all lapsed. */
    removeExpired(): void {
        const oldestTime = this.#clock.getTime() - ORDER_LIMITS.recordLifetimeMs;
        for (const [id, time] of this.#addTimes) {
            if (time < oldestTime) {
                this.#addTimes.delete(id);
                this.#starts.delete(id);
            }
        }
    }

    /**
     * Removes an incarnation that is handed over to another process.
     * @param holder - The incarnation.
     */
    remove(holder: OrderHolder): void {
        this.#starts.delete(getId({ id: holder.memberId, incarnation: holder.incarnation }));
    }
}

function getId(member: { readonly id: string; readonly incarnation: string; }): string {
    return JSON.stringify([member.id, member.incarnation]);
}
