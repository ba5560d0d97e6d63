import type { Clock } from "./Clock.js";

/**
 * Waits for a promise with a timeout; the operation behind the promise is not cancelled.
 * @param clock - The source of time.
 * @param timeoutMs - The timeout in milliseconds.
 * @param promise - The promise.
 * @param onTimeout - Returns the result or throws when the timeout has passed.
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
