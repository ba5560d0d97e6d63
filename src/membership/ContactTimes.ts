/**
 * What this host has heard, in its own monotonic time: when each member, and the store, is known to have had no newer
 * head than the one installed here, and when each member is known to have run.
 */
export class ContactTimes {
    readonly #confirmed = new Map<string, number>();
    readonly #heard = new Map<string, number>();
    #storeTime = -Infinity;

    /**
     * Records that a member had no newer head than this host.
     * @param memberId - The member's id.
     * @param time - When it is known to have been so.
     */
    recordHeadConfirmation(memberId: string, time: number): void {
        recordNewest(this.#confirmed, memberId, time);
        recordNewest(this.#heard, memberId, time);
    }

    /**
     * Records that a member ran.
     * @param memberId - The member's id.
     * @param time - When it is known to have been so.
     */
    recordContact(memberId: string, time: number): void {
        recordNewest(this.#heard, memberId, time);
    }

    /**
     * Records that the store had no newer head than this host.
     * @param time - When it is known to have been so.
     */
    recordStoreConfirmation(time: number): void {
        this.#storeTime = Math.max(this.#storeTime, time);
    }

    /**
     * Gets when a member is known to have had no newer head; -Infinity if never.
     * @param memberId - The member's id.
     */
    getHeadConfirmationTime(memberId: string): number {
        return this.#confirmed.get(memberId) ?? -Infinity;
    }

    /**
     * Gets when a member is known to have run; -Infinity if never.
     * @param memberId - The member's id.
     */
    getContactTime(memberId: string): number {
        return this.#heard.get(memberId) ?? -Infinity;
    }

    /** Gets when the store is known to have had no newer head; -Infinity if never. */
    getStoreConfirmationTime(): number {
        return this.#storeTime;
    }

    /**
     * Removes what concerns other hosts than the given ones.
     * @param memberIds - The ids to keep.
     */
    removeAllExcept(memberIds: ReadonlySet<string>): void {
        for (const times of [this.#confirmed, this.#heard]) {
            for (const memberId of [...times.keys()].filter(id => !memberIds.has(id))) {
                times.delete(memberId);
            }
        }
    }
}

function recordNewest(times: Map<string, number>, memberId: string, time: number): void {
    if (time > (times.get(memberId) ?? -Infinity)) {
        times.set(memberId, time);
    }
}
