const SUCCESS_PATTERN = /"decision":"(answered|dispatched)","reason":"status [234]/;

/**
 * Whether a log line tells of a request that went well.
 * @param line - The line.
 */
export function isSuccessLine(line: string): boolean {
    return SUCCESS_PATTERN.test(line);
}
