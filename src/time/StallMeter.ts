/** Tells how long this process has stood still, for example since it was paused or its processor was busy. */
export interface StallMeter {
    /** Gets the time in which the process has stood still since its start, in milliseconds. */
    getStalledTime(): number;
}
