import { AGE_STEP_MS } from "./AGE_STEP_MS.js";

const UNKNOWN_STEPS = 255;

/**
 * Decodes ages that were encoded as one byte each.
 * @param text - The bytes in base64.
 * @returns Ages in milliseconds; undefined where not known.
 */
export function decodeAges(text: string): (number | undefined)[] {
    const bytes = Buffer.from(text, "base64");
    return Array.from(bytes, steps => steps === UNKNOWN_STEPS ? undefined : steps * AGE_STEP_MS);
}
