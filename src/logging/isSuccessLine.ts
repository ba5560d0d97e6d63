const SUCCESS_PATTERN = /"decision":"(answered|dispatched)","reason":"status [234]/;

/**
 * Whether a log line tells of a request that went well.
 * Statuses 2xx to 4xx count as success.
 * @param line - The line.
 */
export function isSuccessLine(line: string): boolean {
    return SUCCESS_PATTERN.test(line);
}
