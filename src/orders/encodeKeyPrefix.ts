import type { KeyPrefix } from "./KeyPrefix.js";

/**
 * Encodes a key prefix, without the dot that follows it in a key.
 * @param prefix - The prefix.
 */
export function encodeKeyPrefix(prefix: KeyPrefix): string {
    const text = JSON.stringify([prefix.memberId, prefix.incarnation, prefix.minute]);
    return `fp1-${Buffer.from(text).toString("base64url")}`;
}
