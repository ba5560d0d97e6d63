import type { Head } from "../../head/index.js";

/**
 * Whether the head's change list holds every change after a base version, so that a change not found was not taken in.
 * @param head - The head.
 * @param baseVersion - The base version.
 */
export function isCovered(head: Head, baseVersion: number): boolean {
    const oldest = head.changes[0]?.version ?? head.version + 1;
    return oldest <= baseVersion + 1;
}
