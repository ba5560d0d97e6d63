/**
 * Measures the largest number of events in any window of time.
 * @param times - The times of the events, in milliseconds.
 * @param windowMs - The length of the window, in milliseconds.
 */
export function measureMostInWindow(times: readonly number[], windowMs: number): number {
    return Math.max(0, ...times.map(first => times.filter(time => time >= first && time < first + windowMs).length));
}
