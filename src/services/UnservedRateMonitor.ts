import type { Clock } from "../time/index.js";
import type { RequestCounts } from "./RequestCounts.js";
import { RequestOutcomeCounter } from "./RequestOutcomeCounter.js";

/** Share of a service's requests that is not served from which on the service is strained; the platform's floor holds from a tenth on. */
const STRAINED_SHARE = 0.07;
/** Requests before a share says anything. */
const MIN_REQUESTS = 10;
/** What another part has said counts for this long, in milliseconds: two of its reports. */
const MAX_AGE_MS = 2_000;

interface RemoteSummary extends RequestCounts {
    readonly time: number;
}

/** Tells from what all parts of a service serve whether resting upstreams are needed. */
export class UnservedRateMonitor {
    readonly #clock: Clock;
    readonly #meter: RequestOutcomeCounter;
    readonly #remote = new Map<string, RemoteSummary>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#meter = new RequestOutcomeCounter(clock);
    }

    /**
     * Records the end of a request in this part.
     * @param isServed - Whether it was served.
     */
    record(isServed: boolean): void {
        this.#meter.record(isServed);
    }

    /**
     * Records what another part has served lately. A host that has handed its pool over serves nothing, which says nothing of the part.
     * @param partKey - Tells the part from the service's others.
     * @param summary - Its figures.
     */
    recordRemote(partKey: string, summary: RequestCounts): void {
        if (summary.requests > 0) {
            this.#remote.set(partKey, { ...summary, time: this.#clock.getTime() });
        }
    }

    /** Gets this part's figures for the others. */
    getCounts(): RequestCounts {
        return { requests: this.#meter.getRequests(), unserved: this.#meter.getUnserved() };
    }

    /** Whether more of the service's requests are not served than chance explains. */
    isUnservedRateHigh(): boolean {
        const oldest = this.#clock.getTime() - MAX_AGE_MS;
        const remote = [...this.#remote.values()].filter(summary => summary.time >= oldest);
        const all = [this.getCounts(), ...remote];
        const requests = all.reduce((sum, summary) => sum + summary.requests, 0);
        const unserved = all.reduce((sum, summary) => sum + summary.unserved, 0);
        return requests >= MIN_REQUESTS && unserved > STRAINED_SHARE * requests;
    }
}
