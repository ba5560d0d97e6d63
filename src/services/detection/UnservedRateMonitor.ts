import type { Clock } from "../../time/index.js";
import type { RequestCounts } from "./RequestCounts.js";
import { RequestOutcomeCounter } from "./RequestOutcomeCounter.js";

/** Share of unserved requests above which it is high. The floor applies from a tenth on, so this limit is lower. */
const HIGH_UNSERVED_SHARE = 0.07;
/** Fewer requests are too few for a meaningful share. */
const MIN_REQUESTS = 10;
/** Reports of other parts expire after this time, in milliseconds: two report intervals. */
const MAX_AGE_MS = 2_000;

interface RemoteCounts extends RequestCounts {
    readonly time: number;
}

/** Determines over all parts of a service whether so many requests go unserved that ejected upstreams are needed. */
export class UnservedRateMonitor {
    readonly #clock: Clock;
    readonly #counter: RequestOutcomeCounter;
    readonly #remote = new Map<string, RemoteCounts>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#counter = new RequestOutcomeCounter(clock);
    }

    /**
     * Records the end of a request in this part.
     * @param isServed - Whether it was served.
     */
    record(isServed: boolean): void {
        this.#counter.record(isServed);
    }

    /**
     * Records the counts of another part. Counts without requests are ignored: a host that has handed its pool over
     * sends them, and they would replace those of its successor.
     * @param partKey - The key of the part.
     * @param summary - Its counts.
     */
    recordRemote(partKey: string, summary: RequestCounts): void {
        if (summary.requests > 0) {
            this.#remote.set(partKey, { ...summary, time: this.#clock.getTime() });
        }
    }

    /** Gets this part's counts for the other parts. */
    getCounts(): RequestCounts {
        return { requests: this.#counter.getRequests(), unserved: this.#counter.getUnserved() };
    }

    /** Whether more of the service's requests go unserved than chance explains. */
    isUnservedRateHigh(): boolean {
        const oldest = this.#clock.getTime() - MAX_AGE_MS;
        const remote = [...this.#remote.values()].filter(summary => summary.time >= oldest);
        const all = [this.getCounts(), ...remote];
        const requests = all.reduce((sum, summary) => sum + summary.requests, 0);
        const unserved = all.reduce((sum, summary) => sum + summary.unserved, 0);
        return requests >= MIN_REQUESTS && unserved > HIGH_UNSERVED_SHARE * requests;
    }
}
