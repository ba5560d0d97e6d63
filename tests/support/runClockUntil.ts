import type { FakeClock } from "../../src/fakes/index.js";

const STEP_MS = 50;

/**
 * Moves a clock until a promise has ended, or a span of time is over.
 * @param clock - The clock.
 * @param promise - What to wait for.
 * @param limitMs - The span, in milliseconds.
 * @returns The promise's value; undefined if it has not ended.
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
