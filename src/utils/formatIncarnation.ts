const RADIX = 36;

/**
 * Formats the incarnation of a process.
 * @param startTime - The start in milliseconds since the Unix epoch.
 * @param suffix - Keeps two starts in the same millisecond apart.
 */
export function formatIncarnation(startTime: number, suffix: string): string {
    return `${startTime.toString(RADIX)}-${suffix}`;
}
