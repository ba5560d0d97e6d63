const MINOR = /"decision":"(answered|dispatched)","reason":"status [234]/;

/**
 * Whether a log line tells of a request that went well.
 * @param line - The line.
 */
export function isMinorLine(line: string): boolean {
    return MINOR.test(line);
}
