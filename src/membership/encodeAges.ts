import { AGE_STEP_MS } from "./AGE_STEP_MS.js";

const UNKNOWN_AGE = 255;

/**
 * Encodes ages as one byte each, rounded up to multiples of AGE_STEP_MS; too large ages become unknown.
 * @param ages - Ages in milliseconds; undefined if unknown.
 * @returns The bytes in base64.
 */
export function encodeAges(ages: readonly (number | undefined)[]): string {
    const bytes = Buffer.alloc(ages.length);
    ages.forEach((age, index) => {
        bytes[index] = age === undefined ? UNKNOWN_AGE : Math.min(UNKNOWN_AGE, Math.ceil(age / AGE_STEP_MS));
    });
    return bytes.toString("base64");
}
