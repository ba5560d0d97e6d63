import { parseDecimal } from "./parseDecimal.js";

const MS_PER_SECOND = 1_000;

/**
 * Parses a Retry-After field in seconds, fractions allowed; returns milliseconds, or undefined if it is missing, negative, a date or
 * no number.
 * @param value - The field's value.
 */
export function parseRetryAfter(value: string | readonly string[] | undefined): number | undefined {
    const seconds = parseDecimal(value);
    return seconds === undefined ? undefined : seconds * MS_PER_SECOND;
}
