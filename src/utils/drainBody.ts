import type { Readable } from "node:stream";
import type { Clock } from "../time/index.js";

/** Time for the rest of a body that is not needed, in milliseconds. */
const DISCARD_TIME_MS = 250;
/** Length of the rest of a body that is read at most, in bytes. */
const MAX_DISCARDED_BYTES = 1024 * 1024;

/**
 * Reads the rest of a body and drops it, within limits of time and length.
 * @param body - The body.
 * @param clock - The source of time.
 */
export async function drainBody(body: Readable, clock: Clock): Promise<void> {
    let length = 0;
    await new Promise<void>(resolve => {
        const timer = clock.schedule(DISCARD_TIME_MS, resolve);
        const stop = (): void => {
            timer.cancel();
            resolve();
        };
        body.once("end", stop).once("close", stop).on("error", stop);
        body.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > MAX_DISCARDED_BYTES) {
                stop();
            }
        });
    });
}
