import { Decision } from "../logging/index.js";
import type { PeerTrafficCount } from "../peers/index.js";
import type { Child } from "../supervision/index.js";
import type { LoadReporterOptions } from "./LoadReporterOptions.js";

/** Time between two log lines, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** How often the age of the store copy is sampled, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;
const BYTES_PER_KB = 1_000;
/** Logged as the age of a store copy that was never current, in milliseconds. */
const MAX_LOGGED_AGE_MS = 1e9;

/** Logs the peer traffic of this process, its stalls and the age of its store copy every few seconds. */
export class LoadReporter implements Child {
    readonly name = "load-reporter";
    readonly #options: LoadReporterOptions;
    #controller = new AbortController();

    /** @param options - The sources of the figures. */
    constructor(options: LoadReporterOptions) {
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
        const { calls, failures, bytes, slowestMs, answeredBytes, counts } = traffic.readSummary();
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
                ...createByteFigures(counts),
            },
        });
    }
}

/** Creates a figure for each kind and zone of bytes. */
function createByteFigures(counts: readonly PeerTrafficCount[]): Readonly<Record<string, number>> {
    return Object.fromEntries(
        counts.map((
            { kind, isOwnZone, bytes },
        ) => [`${kind}${isOwnZone ? "OwnZone" : "OtherZone"}Kb`, getRoundedFigure(bytes / BYTES_PER_KB)]),
    );
}

function getRoundedFigure(value: number): number {
    return Math.round(Math.min(value, MAX_LOGGED_AGE_MS));
}
