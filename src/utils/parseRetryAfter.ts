const MS_PER_SECOND = 1_000;

/**
 * Parses a Retry-After field in seconds; returns milliseconds, or undefined if it is missing or not a number.
 * @param value - The field's value.
 */
export function parseRetryAfter(value: string | readonly string[] | undefined): number | undefined {
    const seconds = Number(value);
    return value !== undefined && Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}
