import type { Member } from "../head/index.js";

/** Where the entry hosts of a fleet register; calls reject with a StoreUnavailableError when it gives no answer. */
export interface HostRegistry {
    /**
     * Adds this host's entry, or replaces the one of an earlier process.
     * @param member - The entry.
     * @param durationMs - How long the entry stays unless it is renewed, in milliseconds.
     */
    add(member: Member, durationMs: number): Promise<void>;
    /** Renews the entry; returns false if it has lapsed. */
    renew(): Promise<boolean>;
    /** Removes the entry. */
    remove(): Promise<void>;
}
