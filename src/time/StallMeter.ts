/** Measures how long this process was stalled, for example because it was paused or its CPU was busy. */
export interface StallMeter {
    /** Gets the total time that the process was stalled since its start, in milliseconds. */
    getStalledTime(): number;
}
