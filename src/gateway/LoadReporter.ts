import { Decision } from "../logging/index.js";
import type { Child } from "../supervision/index.js";
import type { LoadReporterOptions } from "./LoadReporterOptions.js";

/** Time between two lines, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** How often the age of the copy is looked at, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;
const BYTES_PER_KB = 1_000;
/** Logged as the age of a copy that never was current, in milliseconds. */
const MAX_LOGGED_AGE_MS = 1e9;

/** Writes one line to the log every few seconds with what this process had to carry and how late it was. */
export class LoadReporter implements Child {
    readonly name = "load-reporter";
    readonly #options: LoadReporterOptions;
    #controller = new AbortController();

    /** @param options - Where the figures come from. */
    constructor(options: LoadReporterOptions) {
        this.#options = options;
    }

    /** Starts to report. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        void this.#run(this.#controller.signal);
    }

    /** Stops to report. */
    async stop(): Promise<void> {
        this.#controller.abort();
    }

    async #run(signal: AbortSignal): Promise<void> {
        const { clock, getCopyAge, getStalledTime } = this.#options;
        let maxAgeMs = 0;
        let stalledMs = getStalledTime();
        let reportTime = clock.getTime() + REPORT_INTERVAL_MS;
        while (!signal.aborted) {
            await clock.wait(SAMPLE_INTERVAL_MS, signal).catch(() => undefined);
            maxAgeMs = Math.max(maxAgeMs, getCopyAge());
            if (signal.aborted || clock.getTime() < reportTime) {
                continue;
            }
            const stalledBefore = stalledMs;
            stalledMs = getStalledTime();
            this.#record(maxAgeMs, stalledMs - stalledBefore);
            maxAgeMs = 0;
            reportTime = clock.getTime() + REPORT_INTERVAL_MS;
        }
    }

    #record(maxAgeMs: number, stalledMs: number): void {
        const { decisions, memberId, traffic, getCopyAge } = this.#options;
        const { calls, failures, bytes, slowestMs, answeredBytes } = traffic.readSummary();
        decisions.record({
            decision: Decision.LoadReported,
            reason: "load",
            member: memberId,
            figures: {
                copyAgeMs: getRoundedFigure(getCopyAge()),
                maxCopyAgeMs: getRoundedFigure(maxAgeMs),
                stalledMs: getRoundedFigure(stalledMs),
                peerCalls: calls,
                peerFailures: failures,
                peerKb: getRoundedFigure(bytes / BYTES_PER_KB),
                slowestPeerMs: getRoundedFigure(slowestMs),
                answeredKb: getRoundedFigure(answeredBytes / BYTES_PER_KB),
            },
        });
    }
}

function getRoundedFigure(value: number): number {
    return Math.round(Math.min(value, MAX_LOGGED_AGE_MS));
}
