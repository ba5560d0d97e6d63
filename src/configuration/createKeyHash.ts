import { createHmac } from "node:crypto";

/**
 * Creates the HMAC-SHA-256 of the secret part of a key.
 * @param salt - The salt in base64url.
 * @param secret - The secret part of the key.
 */
export function createKeyHash(salt: string, secret: string): Buffer {
    return createHmac("sha256", Buffer.from(salt, "base64url")).update(secret, "utf8").digest();
}
