/** Faults of a fake store. */
export interface FakeStoreFaults {
    /** Whether no call gets an answer or takes effect. */
    isAway: boolean;
    /** Whether writes take effect but get no answer. */
    losesWriteAnswers: boolean;
    /** Delay before each call takes effect, in milliseconds. */
    delayMs: number;
    /** Limit of gets and watches per second; undefined for no limit. */
    readsPerSecond?: number | undefined;
    /** Limit of writes and lease calls per second; undefined for no limit. */
    writesPerSecond?: number | undefined;
}
