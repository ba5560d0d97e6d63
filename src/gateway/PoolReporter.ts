import { Decision } from "../logging/index.js";
import type { Child } from "../supervision/index.js";
import type { PoolReporterOptions } from "./PoolReporterOptions.js";

/** Time between two log lines of a pool, in milliseconds; each line covers this interval. */
const REPORT_INTERVAL_MS = 2_000;

/** Logs the load of each upstream pool that had requests in the last interval. */
export class PoolReporter implements Child {
    readonly name = "pool-reporter";
    readonly #options: PoolReporterOptions;
    #controller = new AbortController();

    /** @param options - The sources of the figures. */
    constructor(options: PoolReporterOptions) {
        this.#options = options;
    }

    /** Starts reporting. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        void this.#run(this.#controller.signal);
    }

    /** Stops reporting. */
    async stop(): Promise<void> {
        this.#controller.abort();
    }

    async #run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#options.clock.wait(REPORT_INTERVAL_MS, signal).catch(() => undefined);
            if (!signal.aborted) {
                this.#record();
            }
        }
    }

    #record(): void {
        const { decisions, memberId, getLoads } = this.#options;
        const loads = getLoads().filter(({ requests, used }) => requests > 0 || used > 0);
        for (const { service, isUnservedRateHigh, ...figures } of loads) {
            decisions.record({
                decision: Decision.LoadReported,
                reason: "pool",
                member: memberId,
                service,
                figures: { ...figures, strained: Number(isUnservedRateHigh) },
            });
        }
    }
}
