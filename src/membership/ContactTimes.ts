/**
 * Times of the last confirmations and contacts, on this host's monotonic clock: when each member and the store last had
 * no newer head than the one installed here, and when each member was last known to be running.
 */
export class ContactTimes {
    readonly #headConfirmationTimes = new Map<string, number>();
    readonly #lastContactTimes = new Map<string, number>();
    #storeConfirmationTime = -Infinity;

    /**
     * Records that a member had no newer head than this host; this also counts as a contact.
     * @param memberId - The member's id.
     * @param time - The time, in milliseconds of this host's clock.
     */
    recordHeadConfirmation(memberId: string, time: number): void {
        recordNewest(this.#headConfirmationTimes, memberId, time);
        recordNewest(this.#lastContactTimes, memberId, time);
    }

    /**
     * Records that a member was running.
     * @param memberId - The member's id.
     * @param time - The time, in milliseconds of this host's clock.
     */
    recordContact(memberId: string, time: number): void {
        recordNewest(this.#lastContactTimes, memberId, time);
    }

    /**
     * Records that the store had no newer head than this host.
     * @param time - The time, in milliseconds of this host's clock.
     */
    recordStoreConfirmation(time: number): void {
        this.#storeConfirmationTime = Math.max(this.#storeConfirmationTime, time);
    }

    /**
     * Gets the last time at which a member is known to have had no newer head; -Infinity if never.
     * @param memberId - The member's id.
     */
    getHeadConfirmationTime(memberId: string): number {
        return this.#headConfirmationTimes.get(memberId) ?? -Infinity;
    }

    /**
     * Gets the last time at which a member is known to have been running; -Infinity if never.
     * @param memberId - The member's id.
     */
    getContactTime(memberId: string): number {
        return this.#lastContactTimes.get(memberId) ?? -Infinity;
    }

    /** Gets the last time at which the store is known to have had no newer head; -Infinity if never. */
    getStoreConfirmationTime(): number {
        return this.#storeConfirmationTime;
    }

    /**
     * Removes the times of all members except the given ones.
     * @param memberIds - The ids to keep.
     */
    removeAllExcept(memberIds: ReadonlySet<string>): void {
        for (const times of [this.#headConfirmationTimes, this.#lastContactTimes]) {
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
