import type { AccountReport } from "./AccountReport.js";
import { AccountTally } from "./AccountTally.js";
import type { RequestKind } from "./RequestKind.js";
import type { RequestResult } from "./RequestResult.js";

/** Keeps all results of a run and counts them by account and kind of request. */
export class ResultBook {
    readonly #tallies = new Map<string, AccountTally>();
    readonly #results: RequestResult[] = [];
    #sent = 0;

    /** Gets the number of requests sent so far. */
    getSent(): number {
        return this.#sent;
    }

    /** Gets all results so far. */
    getResults(): readonly RequestResult[] {
        return this.#results;
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
