import { setImmediate as waitForImmediate } from "node:timers/promises";

const ROUNDS = 3;

/** Waits until the promise and stream callbacks that are ready now have run. */
export async function waitForTasks(): Promise<void> {
    for (let round = 0; round < ROUNDS; round++) {
        await waitForImmediate();
    }
}
