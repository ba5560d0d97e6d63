/** How the stand-in answers. */
export enum StoreMood {
    Well = "well",
    /** Answers 503; nothing is done. */
    Busy = "busy",
    /** Gives no answer. */
    Silent = "silent",
    /** Does what is asked and loses the answer. */
    Lossy = "lossy",
}
