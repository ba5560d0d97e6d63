/** A test that fails for a known fault, from KNOWN-RED.txt. */
export interface KnownRed {
    readonly file: string;
    readonly test: string;
    /** The line as it stands. */
    readonly entry: string;
}
