/** A destination for log lines. */
export interface LogSink {
    /**
     * Writes a line.
     * @param line - The line, including the line terminator.
     */
    write(line: string): unknown;
}
