/** How a body is read. */
export interface ReadOptions {
    /** Its largest size, in bytes. */
    readonly maxBytes: number;
    /** Its length if it is known, in bytes. */
    readonly length: number | undefined;
    /** The time in which the body is of use, in milliseconds. */
    readonly timeoutMs: number;
}
