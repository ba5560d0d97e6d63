import { AGE_STEP_MS } from "./AGE_STEP_MS.js";

const UNKNOWN_STEPS = 255;

/**
 * Encodes ages as one byte each, rounded up to the next step; an age that is too large counts as unknown.
 * @param ages - Ages in milliseconds; undefined where not known.
 * @returns The bytes in base64.
 */
export function encodeAges(ages: readonly (number | undefined)[]): string {
    const bytes = Buffer.alloc(ages.length);
    ages.forEach((age, index) => {
        bytes[index] = age === undefined ? UNKNOWN_STEPS : Math.min(UNKNOWN_STEPS, Math.ceil(age / AGE_STEP_MS));
    });
    return bytes.toString("base64");
}
