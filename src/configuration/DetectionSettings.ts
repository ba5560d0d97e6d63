/** The wanted balance between quick detection and few false ejections. */
export interface DetectionSettings {
    /** Error share that a healthy upstream may have, from 0 to 1. */
    readonly healthyErrorRate: number;
    /** Error share that must be detected, from 0 to 1. */
    readonly failingErrorRate: number;
    /** Evidence needed to eject, in natural-log units; higher means slower and fewer false ejections. */
    readonly ejectThreshold: number;
    /** Evidence of slowness needed to eject, in the same units; ejectThreshold if undefined. */
    readonly slowThreshold?: number;
    /** How many times the siblings' latency counts as slow. */
    readonly slowFactor: number;
    /** An answer that comes sooner than this is not slow, in milliseconds; 0 if undefined. */
    readonly minSlowMs?: number;
    /** A wait in vain that is shorter than this says nothing of an upstream, in milliseconds; 0 if undefined. */
    readonly minPatienceMs?: number;
    /** First time out of work, in milliseconds; doubles with each return that fails. */
    readonly probationMs: number;
    /** First time out of work while a third of the slots or more are in use, in milliseconds; probationMs if undefined. */
    readonly busyProbationMs?: number;
    /**
     * Time out of work until lookups try an upstream that fails without delay, in milliseconds; orders wait for the times
     * above. No such trials if undefined.
     */
    readonly lookupTrialMs?: number;
    /** Time out of work after a failed trial, in milliseconds; doubles from probationMs if undefined. */
    readonly retrialMs?: number;
}
