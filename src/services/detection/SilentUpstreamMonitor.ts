import type { Clock, ScheduledCall } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";

/** Time between two checks, in milliseconds. */
const INTERVAL_MS = 250;
/** A check that is later than this shows that this process was stalled and received nothing, in milliseconds. */
const MAX_DELAY_MS = 150;

/** Checks for silent upstreams at regular intervals while requests are pending. */
export class SilentUpstreamMonitor {
    readonly #clock: Clock;
    readonly #getUpstreams: () => readonly PooledUpstream[];
    readonly #onSilent: (upstream: PooledUpstream) => void;
    #call: ScheduledCall | undefined;

    /**
     * @param clock - The source of time.
     * @param getUpstreams - Gets the upstreams of the pool.
     * @param onSilent - Called for each upstream that is newly silent.
     */
    constructor(
        clock: Clock,
        getUpstreams: () => readonly PooledUpstream[],
        onSilent: (upstream: PooledUpstream) => void,
    ) {
        this.#clock = clock;
        this.#getUpstreams = getUpstreams;
        this.#onSilent = onSilent;
    }

    /** Starts the checks, if they are not running. */
    start(): void {
        if (this.#call === undefined) {
            const due = this.#clock.getTime() + INTERVAL_MS;
            this.#call = this.#clock.schedule(INTERVAL_MS, () => this.#run(due));
        }
    }

    /** Stops the checks. */
    stop(): void {
        this.#call?.cancel();
        this.#call = undefined;
    }

    #run(due: number): void {
        this.#call = undefined;
        const now = this.#clock.getTime();
        const upstreams = this.#getUpstreams().filter(upstream => upstream.getRunning() > 0);
        if (now - due > MAX_DELAY_MS) {
            upstreams.forEach(upstream => upstream.pendingRequests.recordAnswer(now));
        }
        upstreams.filter(upstream => !upstream.isSilent && upstream.pendingRequests.isSilent(now)).forEach(
            this.#onSilent,
        );
        if (upstreams.length > 0) {
            this.start();
        }
    }
}
