/** Why a caller got no usable answer. */
export enum FailureReason {
    /** No entry host answered the lookup. */
    NoAddress = "no-address",
    /** No connection could be opened. */
    NotOpened = "not-opened",
    /** Every attempt's answer was lost. */
    Lost = "lost",
    /** The answer was cut before its end. */
    Cut = "cut",
    /** The answer named no outcome. */
    NoOutcome = "no-outcome",
}
