/** A list of changes is in memory several times while it is decoded, beside all else that a host holds. */
const MEMORY_SHARE = 1 / 32;

/**
 * Gets the length of the longest list of changes that a host reads from the store at once, in bytes.
 * @param memoryBytes - The memory of the machine, in bytes.
 */
export function getMaxChangesBytes(memoryBytes: number): number {
    return Math.floor(memoryBytes * MEMORY_SHARE);
}
