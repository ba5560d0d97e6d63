import type { Upstream } from "../configuration/index.js";
import type { Clock } from "../time/index.js";

/** Until when upstreams are cold: as registered, and after the evacuation of their zone, as they may have started again without use. */
export class WarmTimes {
    readonly #clock: Clock;
    /** When upstreams that registered as cold are warm, in milliseconds of the clock, by the keys of their registrations. */
    readonly #registered = new Map<string, number>();
    /** When zones were taken back, in milliseconds of the clock. */
    readonly #takenBack = new Map<string, number>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records the registration of an upstream, whose cold time counts from its arrival here.
     * @param key - The key of the registration.
     * @param upstream - The upstream.
     */
    recordUpstream(key: string, { coldMs = 0 }: Upstream): void {
        if (coldMs > 0) {
            this.#registered.set(key, this.#clock.getTime() + coldMs);
        }
        else {
            this.#registered.delete(key);
        }
    }

    /**
     * Removes an upstream.
     * @param key - The key of its registration.
     */
    removeUpstream(key: string): void {
        this.#registered.delete(key);
    }

    /**
     * Records that a zone was taken back.
     * @param zone - The zone.
     */
    recordTakenBack(zone: string): void {
        this.#takenBack.set(zone, this.#clock.getTime());
    }

    /**
     * Applies the time at which an upstream is warm, if that is still to come.
     * @param key - The key of its registration.
     * @param upstream - The upstream.
     * @param coldStartMs - For how long upstreams of its service are cold after their start, in milliseconds.
     */
    apply(key: string, upstream: Upstream, coldStartMs: number): Upstream {
        const warmTime = Math.max(
            this.#registered.get(key) ?? Number.NEGATIVE_INFINITY,
            (this.#takenBack.get(upstream.zone) ?? Number.NEGATIVE_INFINITY) + coldStartMs,
        );
        return warmTime > this.#clock.getTime() ? { ...upstream, warmTime } : upstream;
    }
}
