/** The output streams of a command. */
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
    readonly writeError: (text: string) => void;
}
