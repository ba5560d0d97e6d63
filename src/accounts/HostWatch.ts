import type { Clock, ScheduledCall } from "../time/index.js";
import type { HostWatchOptions } from "./HostWatchOptions.js";

/** Interval of the checks whether a host that runs a lookup is still reachable, in milliseconds. */
const CHECK_INTERVAL_MS = 400;

/** Watches a host that runs a lookup and reports once if it seems lost, or has had its share of the lookup's time. */
export class HostWatch {
    readonly #clock: Clock;
    readonly #options: HostWatchOptions;
    #nextCheck: ScheduledCall;
    readonly #limit: ScheduledCall | undefined;
    #isEnded = false;

    /** @param options - How to check the host, its share of the time and the receiver of the report. */
    constructor(options: HostWatchOptions) {
        this.#clock = options.clock;
        this.#options = options;
        this.#nextCheck = this.#scheduleCheck();
        this.#limit = options.limitMs === undefined
            ? undefined
            : this.#clock.schedule(options.limitMs, () => this.#report());
    }

    /** Ends the watch without a report. */
    stop(): void {
        this.#isEnded = true;
        this.#nextCheck.cancel();
        this.#limit?.cancel();
    }

    #scheduleCheck(): ScheduledCall {
        return this.#clock.schedule(CHECK_INTERVAL_MS, () => void this.#check());
    }

    async #check(): Promise<void> {
        const isLost = await this.#options.isLost();
        if (this.#isEnded) {
            return;
        }
        if (isLost) {
            this.#report();
        }
        else {
            this.#nextCheck = this.#scheduleCheck();
        }
    }

    #report(): void {
        this.stop();
        this.#options.onLate();
    }
}
