import type { Head } from "../../head/index.js";

/**
 * Whether the head's change list holds every change after a base version. If so, a change not found in it was not applied.
 * @param head - The head.
 * @param baseVersion - The base version.
 */
export function hasAllChangesSince(head: Head, baseVersion: number): boolean {
    const oldest = head.changes[0]?.version ?? head.version + 1;
    return oldest <= baseVersion + 1;
}
