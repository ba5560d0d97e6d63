import { randomBytes } from "node:crypto";
import type { CreatedKey } from "./CreatedKey.js";
import { createKeyHash } from "./createKeyHash.js";

const ID_BYTES = 9;
const SALT_BYTES = 16;
const SECRET_BYTES = 32;

/**
 * Creates an API key for a client account.
 * @param account - The account's name.
 * @param createBytes - The source of random bytes.
 */
export function createKey(account: string, createBytes: (size: number) => Buffer = randomBytes): CreatedKey {
    const id = `k${createBytes(ID_BYTES).toString("hex")}`;
    const secret = createBytes(SECRET_BYTES).toString("base64url");
    const salt = createBytes(SALT_BYTES).toString("base64url");
    const hash = createKeyHash(salt, secret).toString("base64url");
    return { text: `${id}.${secret}`, record: { id, account, salt, hash } };
}
