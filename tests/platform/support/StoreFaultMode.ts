/** How the stand-in answers. */
export enum StoreFaultMode {
    None = "well",
    /** Answers 503; nothing is done. */
    Unavailable = "busy",
    /** Gives no answer. */
    Silent = "silent",
    /** Does what is asked and loses the answer. */
    LostResponse = "lossy",
}
