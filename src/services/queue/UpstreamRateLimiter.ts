import { TokenBucket } from "../../rates/index.js";
import type { Clock } from "../../time/index.js";
import type { UpstreamRateLimiterOptions } from "./UpstreamRateLimiterOptions.js";

/** Requests that may follow one another at once, as time at the upstream's rate, in seconds; at least one request. */
const BURST_S = 0.25;
/** A lower rate counts as this one, in requests per second: only a response tells that a limit has ended. */
const MIN_RATE = 0.05;
/** Tokens due within this time count as available, which covers the rounding of timers, in milliseconds. */
const TOLERANCE_MS = 1;
const MS_PER_SECOND = 1_000;

/** Keeps the requests to one upstream within this host's share of the rate that the upstream accepts. */
export class UpstreamRateLimiter {
    readonly #clock: Clock;
    readonly #getRate: () => number;
    readonly #getRemainingMs: () => number;
    readonly #getShare: () => number;
    #bucket: TokenBucket | undefined;

    /** @param options - The source of time, the upstream's rate and this host's share of it. */
    constructor({ clock, getRate, getRemainingMs, getShare }: UpstreamRateLimiterOptions) {
        this.#clock = clock;
        this.#getRate = getRate;
        this.#getRemainingMs = getRemainingMs;
        this.#getShare = getShare;
    }

    /** Whether the upstream has named a limit or is cold. */
    isLimited(): boolean {
        return this.#findBucket() !== undefined;
    }

    /** Gets the time until the next request may be sent, in milliseconds; 0 without a limit. */
    getPauseMs(): number {
        const tokenMs = this.#findBucket()?.getWaitMs(this.#clock.getTime()) ?? 0;
        const waitMs = Math.min(tokenMs, this.#getRemainingMs());
        return waitMs <= TOLERANCE_MS ? 0 : waitMs;
    }

    /** Gets the requests that may be sent now; Infinity without a limit. */
    getAllowance(): number {
        const tokens = this.#findBucket()?.getTokens(this.#clock.getTime());
        return tokens === undefined ? Infinity : Math.max(0, Math.floor(tokens));
    }

    /**
     * Gets the mean number of slots that requests at the limit use; Infinity without a limit.
     * @param slotTimeMs - Mean time for which a request uses a slot, in milliseconds.
     */
    getUsableSlots(slotTimeMs: number): number {
        const bucket = this.#findBucket();
        return bucket === undefined ? Infinity : bucket.getShare().rate * slotTimeMs / MS_PER_SECOND;
    }

    /** Counts one request; returns false if it must not be sent yet. */
    spend(): boolean {
        const bucket = this.#findBucket();
        return bucket === undefined || bucket.spendAhead(this.#clock.getTime(), TOLERANCE_MS) !== undefined;
    }

    /** Starts without tokens, as the upstream has had requests of unknown number when it names its limit. */
    #findBucket(): TokenBucket | undefined {
        const rate = this.#getRate();
        if (!Number.isFinite(rate)) {
            this.#bucket = undefined;
            return undefined;
        }
        const share = { rate: Math.max(MIN_RATE, rate) * this.#getShare(), burst: Math.max(1, rate * BURST_S) };
        this.#bucket ??= new TokenBucket(share, 0, this.#clock.getTime());
        this.#bucket.applyShare(share, this.#clock.getTime());
        return this.#bucket;
    }
}
