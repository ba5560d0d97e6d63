import { AGE_STEP_MS } from "./AGE_STEP_MS.js";

const UNKNOWN_AGE = 255;

/**
 * Decodes ages that were encoded as one byte each.
 * @param text - The bytes in base64.
 * @returns Ages in milliseconds; undefined if unknown.
 */
export function decodeAges(text: string): (number | undefined)[] {
    const bytes = Buffer.from(text, "base64");
    return Array.from(bytes, steps => steps === UNKNOWN_AGE ? undefined : steps * AGE_STEP_MS);
}
