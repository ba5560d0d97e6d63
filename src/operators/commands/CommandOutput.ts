/** Where a command writes. */
export interface CommandOutput {
    /**
     * Writes a line to standard output.
     * @param text - The line.
     */
    readonly write: (text: string) => void;
    /**
     * Writes a line to standard error.
     * @param text - The line.
     */
    readonly report: (text: string) => void;
}
