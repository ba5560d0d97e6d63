/** A scheduled callback. */
export interface ScheduledCall {
    /** Cancels the callback; has no effect after it has run. */
    cancel(): void;
}
