/** A callback that waits for its time. */
export interface ScheduledCall {
    /** Cancels the callback; does nothing once it has run. */
    cancel(): void;
}
