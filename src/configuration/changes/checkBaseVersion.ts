import type { Finding } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import { isCovered } from "./isCovered.js";

/**
 * Finds whether a base version is ahead of the head, or so old that removed sections are no longer known.
 * @param head - The head that stands.
 * @param baseVersion - The version that the operator has seen.
 */
export function checkBaseVersion(head: Head, baseVersion: number): Finding[] {
    const place = "baseVersion";
    if (baseVersion > head.version) {
        return [{ place, message: `version ${baseVersion} is ahead of version ${head.version}` }];
    }
    if (!isCovered(head, baseVersion)) {
        const message = `version ${baseVersion} is too old; read version ${head.version} and make the change anew`;
        return [{ place, message }];
    }
    return [];
}
