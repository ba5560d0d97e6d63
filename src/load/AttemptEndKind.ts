/** What an attempt means for its request. */
export enum AttemptEndKind {
    /** The request has its result. */
    Final = "final",
    /** Nothing was sent or the host doesn't serve; another address is tried. */
    Elsewhere = "elsewhere",
    /** The answer was lost or the work still runs; it is sent again. */
    Again = "again",
}
