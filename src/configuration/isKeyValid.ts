import { timingSafeEqual } from "node:crypto";
import type { AccountKey } from "./AccountKey.js";
import { createKeyHash } from "./createKeyHash.js";

/**
 * Checks whether a secret belongs to a key that is not withdrawn; compares in constant time.
 * @param record - The key's record.
 * @param secret - The secret part of the key in a request.
 */
export function isKeyValid(record: AccountKey, secret: string): boolean {
    const expected = Buffer.from(record.hash, "base64url");
    const actual = createKeyHash(record.salt, secret);
    const isEqual = expected.length === actual.length && timingSafeEqual(expected, actual);
    return isEqual && record.withdrawn !== true;
}
