import type { Member } from "../head/index.js";

/** The registry of a fleet's entry hosts. Calls reject with a StoreUnavailableError if no answer arrives. */
export interface HostRegistry {
    /**
     * Adds this host's entry, or replaces the entry of an earlier process.
     * @param member - The entry.
     * @param durationMs - Time until the entry lapses unless it is renewed, in milliseconds.
     */
    add(member: Member, durationMs: number): Promise<void>;
    /** Renews the entry; returns false if it has lapsed. */
    renew(): Promise<boolean>;
    /** Removes the entry. */
    remove(): Promise<void>;
}
