const RADIX = 36;
const INCARNATION_PATTERN = /^([0-9a-z]+)-/;

/**
 * Parses the start time from an incarnation id, in milliseconds since the Unix epoch; returns undefined if it has none.
 * @param incarnation - The incarnation id.
 */
export function parseIncarnation(incarnation: string): number | undefined {
    const match = INCARNATION_PATTERN.exec(incarnation);
    return match === null ? undefined : Number.parseInt(match[1]!, RADIX);
}
