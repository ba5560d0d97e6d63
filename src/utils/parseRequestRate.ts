import { parseDecimal } from "./parseDecimal.js";

/**
 * Parses a field that names requests per second; returns Infinity if the field is missing, undefined if it can't be read.
 * @param value - The field's value.
 */
export function parseRequestRate(value: string | readonly string[] | undefined): number | undefined {
    return value === undefined ? Infinity : parseDecimal(value);
}
