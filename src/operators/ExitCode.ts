/** Exit codes of the operators' program. */
export enum ExitCode {
    Done = 0,
    /** The change was refused, or what was asked for isn't there. */
    Refused = 1,
    /** The input or the command line is malformed; all findings are printed. */
    BadInput = 2,
    /** No entry host, or not the store, could be reached; nothing was stored. */
    Unreachable = 3,
    /** The change is stored or may be stored, but is not confirmed; ask again with the same change id. */
    Unconfirmed = 4,
}
