import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Whether two texts are equal, compared in constant time.
 * @param first - One text.
 * @param second - The other text.
 */
export function isTimingSafeEqual(first: string, second: string): boolean {
    const firstDigest = createHash("sha256").update(first).digest();
    const secondDigest = createHash("sha256").update(second).digest();
    return timingSafeEqual(firstDigest, secondDigest);
}
