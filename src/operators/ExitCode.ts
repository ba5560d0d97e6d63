/** Exit codes of the operators' command line. */
export enum ExitCode {
    Success = 0,
    /** The change was refused, or the requested item does not exist. */
    Refused = 1,
    /** The input or the command line is invalid; all findings are printed. */
    InvalidInput = 2,
    /** No entry host could be reached, or the store was unavailable; nothing was stored. */
    Unreachable = 3,
    /** The change is or may be stored, but is not confirmed; retry with the same change id. */
    Unconfirmed = 4,
}
