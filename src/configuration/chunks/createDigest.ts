import { createHash } from "node:crypto";

/**
 * Creates the SHA-256 of a text in base64url.
 * @param text - The text.
 */
export function createDigest(text: string): string {
    return createHash("sha256").update(text, "utf8").digest("base64url");
}
