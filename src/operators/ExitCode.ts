/** Exit codes of the operators' command line. */
export enum ExitCode {
    Success = 0,
    /** The change was refused, or the requested item does not exist. */
    Refused = 1,
    /** The input or the command line is invalid; all findings are printed. */
    InvalidInput = 2,
    /** Either no entry host or not the store could be reached; nothing was stored. */
    Unreachable = 3,
    /** The change is or may be stored, but is not confirmed; retry with the same change id. */
    Unconfirmed = 4,
}
