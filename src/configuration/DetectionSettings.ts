/** The wanted balance between quick detection and few false ejections. */
export interface DetectionSettings {
    /** Error share that a healthy upstream may have, from 0 to 1. */
    readonly healthyErrorRate: number;
    /** Error share that must be detected, from 0 to 1. */
    readonly failingErrorRate: number;
    /** Evidence needed to eject, in natural-log units; higher means slower and fewer false ejections. */
    readonly ejectThreshold: number;
    /** How many times the siblings' latency counts as slow. */
    readonly slowFactor: number;
    /** First time out of work, in milliseconds; doubles with each return that fails. */
    readonly probationMs: number;
}
