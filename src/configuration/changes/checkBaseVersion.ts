import type { Finding } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import { hasAllChangesSince } from "./hasAllChangesSince.js";

/**
 * Checks that a base version is neither newer than the head nor so old that the head no longer lists the sections that
 * were removed since.
 * @param head - The current head.
 * @param baseVersion - The version on which the operator based the change.
 */
export function checkBaseVersion(head: Head, baseVersion: number): Finding[] {
    const place = "baseVersion";
    if (baseVersion > head.version) {
        return [{ place, message: `version ${baseVersion} is ahead of version ${head.version}` }];
    }
    if (!hasAllChangesSince(head, baseVersion)) {
        const message = `version ${baseVersion} is too old; read version ${head.version} and make the change again`;
        return [{ place, message }];
    }
    return [];
}
