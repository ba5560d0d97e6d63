import type { FakeClock } from "../../src/fakes/index.js";

const STEP_MS = 50;

/**
 * Advances a clock until a promise has settled, or until a time limit.
 * @param clock - The clock.
 * @param promise - The promise to wait for.
 * @param limitMs - The time limit, in milliseconds of the clock.
 * @returns The promise's value; undefined if it has not settled.
 */
export async function runClockUntil<T>(
    clock: FakeClock,
    promise: Promise<T>,
    limitMs = 60_000,
): Promise<T | undefined> {
    let result: { value: T; } | undefined;
    let failure: { error: unknown; } | undefined;
    promise.then(value => (result = { value }), (error: unknown) => (failure = { error }));
    const end = clock.getTime() + limitMs;
    while (result === undefined && failure === undefined && clock.getTime() < end) {
        await clock.run(STEP_MS);
    }
    if (failure !== undefined) {
        throw failure.error;
    }
    return result?.value;
}
