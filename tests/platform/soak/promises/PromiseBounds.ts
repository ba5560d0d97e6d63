/** The bounds of promises that hold within a time, in milliseconds. */
export interface PromiseBounds {
    /** How long a host is out of touch after a disturbance. */
    readonly contactMs: number;
    /** From the acknowledgement of a configuration until hosts in touch follow it. */
    readonly applyMs: number;
    /** From the acknowledgement that an upstream leaves until it gets nothing more. */
    readonly drainMs: number;
    /** From the end of all faults until the fleet serves again. */
    readonly recoveryMs: number;
}
