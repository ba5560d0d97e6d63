const SUCCESS_PATTERN = /"decision":"(answered|dispatched)","reason":"status [234]/;

/**
 * Whether a log line records an answer or attempt without an upstream failure (status 2xx to 4xx).
 * @param line - The line.
 */
export function isSuccessLine(line: string): boolean {
    return SUCCESS_PATTERN.test(line);
}
