/** A body in memory. */
export interface HeldBody {
    readonly bytes: Buffer;
    /** Gives up its memory. */
    release(): void;
}
