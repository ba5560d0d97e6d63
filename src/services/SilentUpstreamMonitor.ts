import type { Clock, ScheduledCall } from "../time/index.js";
import type { PooledUpstream } from "./PooledUpstream.js";

/** Time between two looks, in milliseconds. */
const INTERVAL_MS = 250;
/** A look that comes later than this means that this process stood still and heard nothing, in milliseconds. */
const MAX_DELAY_MS = 150;

/** Looks, while requests are under way, for upstreams whose answers stay out. */
export class SilentUpstreamMonitor {
    readonly #clock: Clock;
    readonly #getUpstreams: () => readonly PooledUpstream[];
    readonly #onSilent: (upstream: PooledUpstream) => void;
    #call: ScheduledCall | undefined;

    /**
     * @param clock - The source of time.
     * @param getUpstreams - Gets the upstreams of the pool.
     * @param onSilent - Runs for each that works and has fallen silent.
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

    /** Starts to look, if it has not. */
    start(): void {
        if (this.#call === undefined) {
            const due = this.#clock.getTime() + INTERVAL_MS;
            this.#call = this.#clock.schedule(INTERVAL_MS, () => this.#run(due));
        }
    }

    /** Stops to look. */
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
