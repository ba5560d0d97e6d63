const RADIX = 36;

/**
 * Formats the incarnation id of a process.
 * @param startTime - The start time in milliseconds since the Unix epoch.
 * @param suffix - Distinguishes starts in the same millisecond.
 */
export function formatIncarnation(startTime: number, suffix: string): string {
    return `${startTime.toString(RADIX)}-${suffix}`;
}
