import { MemoryKind } from "./MemoryKind.js";
import type { MemoryLimits } from "./MemoryLimits.js";

/** Resident memory of a process without requests, in bytes; measured at 107 to 144 MB with two or three hosts. */
const IDLE_BYTES = 130_000_000;
/** Share of the rest for what requests hold; the remainder is for garbage, fragments and what isn't counted. */
const USABLE_SHARE = 0.6;
/** Smallest memory for what requests hold, so that a small machine still serves one request after the other, in bytes. */
const MIN_USABLE_BYTES = 16_000_000;
/** Bodies have the largest shares, as a single one may have many megabytes. */
const SHARES: MemoryLimits = {
    [MemoryKind.Body]: 0.35,
    [MemoryKind.ForwardedBody]: 0.25,
    [MemoryKind.QueuedRequest]: 0.1,
    [MemoryKind.AnswerAhead]: 0.1,
    [MemoryKind.UnreadAnswer]: 0.2,
};

/**
 * Divides the memory of a machine among the kinds.
 * @param memoryBytes - The memory of the machine, in bytes.
 */
export function createMemoryLimits(memoryBytes: number): MemoryLimits {
    const usable = Math.max(MIN_USABLE_BYTES, (memoryBytes - IDLE_BYTES) * USABLE_SHARE);
    const entries = Object.values(MemoryKind).map(kind => [kind, Math.floor(SHARES[kind] * usable)]);
    return Object.fromEntries(entries) as MemoryLimits;
}
