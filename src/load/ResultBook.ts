import { build } from "hdr-histogram-js";
import type { AccountReport } from "./AccountReport.js";
import { AccountTally } from "./AccountTally.js";
import type { RequestKind } from "./RequestKind.js";
import type { RequestResult } from "./RequestResult.js";

const US_PER_MS = 1_000;
const HIGH_PERCENTILE = 99;

/** Keeps all results of a run and counts them by account and kind of request. */
export class ResultBook {
    readonly #tallies = new Map<string, AccountTally>();
    readonly #results: RequestResult[] = [];
    readonly #lateness = build();
    #sent = 0;

    /** Gets the number of requests sent so far. */
    getSent(): number {
        return this.#sent;
    }

    /** Gets all results so far. */
    getResults(): readonly RequestResult[] {
        return this.#results;
    }

    /** Gets how late the tool itself sent requests, as the 99th percentile in milliseconds. */
    getLatenessP99Ms(): number {
        return this.#lateness.totalCount === 0
            ? 0
            : this.#lateness.getValueAtPercentile(HIGH_PERCENTILE) / US_PER_MS;
    }

    /**
     * Records how late the tool itself sent a request.
     * @param latenessMs - From when it was due, in milliseconds.
     */
    recordLateness(latenessMs: number): void {
        this.#lateness.recordValue(Math.max(0, Math.round(latenessMs * US_PER_MS)));
    }

    /**
     * Records that a request is on its way.
     * @param account - The account's name.
     * @param kind - The kind of request.
     */
    recordSent(account: string, kind: RequestKind): void {
        this.#sent++;
        this.#getTally(account, kind).recordSent();
    }

    /**
     * Records a request's result.
     * @param result - The result.
     */
    recordResult(result: RequestResult): void {
        this.#results.push(result);
        this.#getTally(result.account, result.requestKind).recordResult(result);
    }

    /** Creates the reports by account and kind, in the order in which they first sent something. */
    createReports(): readonly AccountReport[] {
        return [...this.#tallies.values()].map(tally => tally.createReport());
    }

    #getTally(account: string, kind: RequestKind): AccountTally {
        const key = `${account} ${kind}`;
        const tally = this.#tallies.get(key) ?? new AccountTally(account, kind);
        this.#tallies.set(key, tally);
        return tally;
    }
}
