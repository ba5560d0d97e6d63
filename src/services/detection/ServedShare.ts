import type { Clock } from "../../time/index.js";
import { RequestOutcomeCounter } from "./RequestOutcomeCounter.js";

const DECIMALS = 100;

/** The share of recent attempts at a part's upstreams that were served. */
export class ServedShare {
    readonly #counter: RequestOutcomeCounter;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#counter = new RequestOutcomeCounter(clock);
    }

    /**
     * Records the end of an attempt.
     * @param isServed - Whether it was served.
     */
    record(isServed: boolean): void {
        this.#counter.record(isServed);
    }

    /** Gets the share, from 0 to 1; 1 without attempts, and close to it for a single failure among few. */
    getShare(): number {
        const attempts = this.#counter.getRequests() + 1;
        return Math.round(DECIMALS * (attempts - this.#counter.getUnserved()) / attempts) / DECIMALS;
    }
}
