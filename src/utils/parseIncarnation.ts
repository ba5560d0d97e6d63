const RADIX = 36;
const INCARNATION_PATTERN = /^([0-9a-z]+)-/;

/**
 * Parses the start of a process from its incarnation, in milliseconds since the Unix epoch; undefined if it has none.
 * @param incarnation - The incarnation.
 */
export function parseIncarnation(incarnation: string): number | undefined {
    const match = INCARNATION_PATTERN.exec(incarnation);
    return match === null ? undefined : Number.parseInt(match[1]!, RADIX);
}
