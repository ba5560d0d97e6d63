import { Disturbances } from "./Disturbances.js";

const INTERVAL_MS = 50;
/** A delay above this makes times of the soak's records doubtful, in milliseconds. */
const DISTURBING_MS = 200;

/** Measures delays of the soak's own event loop and records long ones as disturbances of everything. */
export class DelayMeter {
    longestMs = 0;
    readonly #disturbances: Disturbances;
    #timer: NodeJS.Timeout | undefined;

    /** @param disturbances - Where long delays are recorded. */
    constructor(disturbances: Disturbances) {
        this.#disturbances = disturbances;
    }

    /** Starts measuring. */
    start(): void {
        let lastTime = performance.now();
        this.#timer = setInterval(() => {
            const now = performance.now();
            const delayMs = now - lastTime - INTERVAL_MS;
            this.longestMs = Math.max(this.longestMs, delayMs);
            if (delayMs > DISTURBING_MS) {
                // Times of the soak's own records are doubtful; the hosts went on.
                this.#disturbances.addPast(Disturbances.all, now - lastTime, 0);
            }
            lastTime = now;
        }, INTERVAL_MS);
    }

    /** Stops measuring. */
    stop(): void {
        clearInterval(this.#timer);
    }
}
