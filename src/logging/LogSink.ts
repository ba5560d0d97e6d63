/** Takes log lines. */
export interface LogSink {
    /**
     * Writes a line.
     * @param line - The line with its end.
     */
    write(line: string): unknown;
}
