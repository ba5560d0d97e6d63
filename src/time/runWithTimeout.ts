import type { Clock } from "./Clock.js";

/**
 * Waits for a piece of work, but no longer than a limit; the work itself goes on.
 * @param clock - The source of time.
 * @param timeoutMs - The limit in milliseconds.
 * @param promise - The work.
 * @param onTimeout - Gives the result, or throws, when the limit has passed.
 */
export function runWithTimeout<T>(
    clock: Clock,
    timeoutMs: number,
    promise: Promise<T>,
    onTimeout: () => T,
): Promise<T> {
    return new Promise((resolve, reject) => {
        const timer = clock.schedule(timeoutMs, () => {
            try {
                resolve(onTimeout());
            }
            catch (error) {
                reject(error);
            }
        });
        promise.then(resolve, reject).finally(() => timer.cancel());
    });
}
