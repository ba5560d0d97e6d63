import type { DetectionSettings } from "../../configuration/index.js";
import type { RandomSource } from "../../random/index.js";
import type { Clock, ScheduledCall } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";

/** An ejection this soon after a restore prolongs the ejection time, in milliseconds. */
const FLAP_WINDOW_MS = 600_000;
const MAX_DOUBLINGS = 6;
const JITTER = 0.1;

/** Schedules the end of ejections, with exponential back-off for upstreams that flap. */
export class BackOff {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #ends = new WeakMap<PooledUpstream, number>();
    readonly #calls = new Map<PooledUpstream, readonly ScheduledCall[]>();

    /**
     * @param clock - The source of time.
     * @param random - The source of the jitter.
     */
    constructor(clock: Clock, random: RandomSource) {
        this.#clock = clock;
        this.#random = random;
    }

    /**
     * Starts the ejection time of an upstream; returns it in milliseconds.
     * @param upstream - The upstream.
     * @param detection - The first ejection time and, for intermittent failures, the one after a failed trial.
     * @param onTrial - Called when lookups may be trials, if that is before the end, and at the end.
     */
    start(upstream: PooledUpstream, detection: DetectionSettings, onTrial: () => void): number {
        const now = this.#clock.getTime();
        const lastReturn = Math.max(upstream.restoredTime, this.#ends.get(upstream) ?? Number.NEGATIVE_INFINITY);
        upstream.consecutiveEjections = now - lastReturn > FLAP_WINDOW_MS ? 1 : upstream.consecutiveEjections + 1;
        const jitter = 1 + JITTER * this.#random.getNext();
        const durationMs = getDuration(upstream, detection) * jitter;
        this.cancel(upstream);
        this.#ends.set(upstream, now + durationMs);
        upstream.orderTrialTime = now + durationMs;
        const lookupTrialMs = upstream.isFailingFast ? (detection.lookupTrialMs ?? durationMs) * jitter : durationMs;
        const times = lookupTrialMs < durationMs ? [lookupTrialMs, durationMs] : [durationMs];
        this.#calls.set(upstream, times.map(timeMs => this.#clock.schedule(timeMs, onTrial)));
        return durationMs;
    }

    /**
     * Cancels the timers of an upstream.
     * @param upstream - The upstream.
     */
    cancel(upstream: PooledUpstream): void {
        this.#calls.get(upstream)?.forEach(call => call.cancel());
        this.#calls.delete(upstream);
    }

    /** Cancels all timers. */
    stop(): void {
        this.#calls.forEach(calls => calls.forEach(call => call.cancel()));
        this.#calls.clear();
    }
}

function getDuration(upstream: PooledUpstream, { probationMs, retrialMs }: DetectionSettings): number {
    if (retrialMs !== undefined) {
        return upstream.hasFailedTrial ? retrialMs : probationMs;
    }
    return probationMs * 2 ** Math.min(upstream.consecutiveEjections - 1, MAX_DOUBLINGS);
}
