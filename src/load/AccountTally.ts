import { build, type Histogram } from "hdr-histogram-js";
import { UnexpectedVariantError } from "../errors/index.js";
import type { AccountReport } from "./AccountReport.js";
import type { RequestKind } from "./RequestKind.js";
import type { RequestResult } from "./RequestResult.js";
import { ResultKind } from "./ResultKind.js";

const HIGHEST_TRACKED_US = 600_000_000;
const US_PER_MS = 1_000;
const STATUS_SERVER_ERROR = 500;
const MEDIAN = 50;
const HIGH_PERCENTILE = 99;

/** Counts the requests of one account and kind. */
export class AccountTally {
    readonly #account: string;
    readonly #requestKind: RequestKind;
    readonly #histogram: Histogram = build({ highestTrackableValue: HIGHEST_TRACKED_US });
    readonly #refused: Record<string, number> = {};
    readonly #unknown: Record<string, number> = {};
    readonly #failed: Record<string, number> = {};
    #sent = 0;
    #done = 0;
    #doneWithError = 0;
    #wrong = 0;
    #attempts = 0;

    /**
     * @param account - The account's name.
     * @param requestKind - The kind of its requests.
     */
    constructor(account: string, requestKind: RequestKind) {
        this.#account = account;
        this.#requestKind = requestKind;
    }

    /** Records that a request is on its way. */
    recordSent(): void {
        this.#sent++;
    }

    /**
     * Records a request's result.
     * @param result - The result.
     */
    recordResult(result: RequestResult): void {
        this.#attempts += result.attempts;
        this.#wrong += result.isWrong ? 1 : 0;
        const reason = result.reason ?? "none";
        switch (result.kind) {
            case ResultKind.Done:
                this.#recordDone(result);
                break;
            case ResultKind.Refused:
                addOne(this.#refused, reason);
                break;
            case ResultKind.Unknown:
                addOne(this.#unknown, reason);
                break;
            case ResultKind.Failed:
                addOne(this.#failed, reason);
                break;
            default:
                throw new UnexpectedVariantError(result.kind);
        }
    }

    /** Creates the report of what was counted so far. */
    createReport(): AccountReport {
        const hasTimes = this.#histogram.totalCount > 0;
        const getPercentileMs = (percentile: number): number =>
            hasTimes ? this.#histogram.getValueAtPercentile(percentile) / US_PER_MS : 0;
        return {
            account: this.#account,
            requestKind: this.#requestKind,
            sent: this.#sent,
            done: this.#done,
            doneWithError: this.#doneWithError,
            refused: { ...this.#refused },
            unknown: { ...this.#unknown },
            failed: { ...this.#failed },
            wrong: this.#wrong,
            attempts: this.#attempts,
            p50Ms: getPercentileMs(MEDIAN),
            p99Ms: getPercentileMs(HIGH_PERCENTILE),
            maxMs: hasTimes ? this.#histogram.maxValue / US_PER_MS : 0,
        };
    }

    #recordDone(result: RequestResult): void {
        this.#done++;
        this.#doneWithError += (result.status ?? 0) >= STATUS_SERVER_ERROR ? 1 : 0;
        const durationUs = Math.round(result.durationMs * US_PER_MS);
        this.#histogram.recordValue(Math.min(Math.max(durationUs, 1), HIGHEST_TRACKED_US));
    }
}

function addOne(counts: Record<string, number>, reason: string): void {
    counts[reason] = (counts[reason] ?? 0) + 1;
}
