import type { Clock } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { Crash } from "./Crash.js";

const MAX_REQUESTS = 1_000;
/** Connections lost within this time of each other are one crash. */
const GROUP_MS = 50;

/** The crashes of the newest lost connections by request, so that their evidence can be removed. */
export class RecentCrashes {
    readonly #clock: Clock;
    readonly #byRequest = new Map<string, Crash>();
    readonly #newest = new WeakMap<PooledUpstream, Crash>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a lost connection; returns its crash if this is the first connection of it.
     * @param requestId - The request that ran on the connection.
     * @param upstream - The upstream.
     */
    add(requestId: string, upstream: PooledUpstream): Crash | undefined {
        const time = this.#clock.getTime();
        const newest = this.#newest.get(upstream);
        const isSame = newest !== undefined && time - newest.time < GROUP_MS;
        const crash = isSame ? newest : { upstream, time, evidence: 0 };
        this.#newest.set(upstream, crash);
        this.#byRequest.set(requestId, crash);
        if (this.#byRequest.size > MAX_REQUESTS) {
            const [oldest] = this.#byRequest.keys();
            this.#byRequest.delete(oldest!);
        }
        return isSame ? undefined : crash;
    }

    /**
     * Finds the crash that a request was part of.
     * @param requestId - The request.
     */
    find(requestId: string): Crash | undefined {
        return this.#byRequest.get(requestId);
    }
}
