import type { Clock } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { BaselineRates } from "./BaselineRates.js";
import type { UpstreamSummary } from "./UpstreamSummary.js";

/** An upstream with fewer samples is no baseline for others. */
const MIN_SAMPLES = 16;
/** Summaries of other service hosts older than this are ignored. */
const MAX_AGE_MS = 30_000;
/** The cached rates of the siblings are used for this many calls. */
const REFRESH_CALLS = 8;

interface RemoteSummary {
    readonly time: number;
    readonly upstreams: readonly UpstreamSummary[];
}

interface CachedRates {
    readonly rates: BaselineRates;
    calls: number;
}

/** The error rates, slow rates and latencies of the upstreams of a service, at this and its other service hosts. */
export class ServiceBaseline {
    readonly #clock: Clock;
    readonly #remote = new Map<string, RemoteSummary>();
    readonly #cache = new Map<PooledUpstream, CachedRates>();
    #upstreams: readonly PooledUpstream[] = [];

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Applies a new set of upstreams.
     * @param upstreams - The upstreams of this part of the service.
     */
    apply(upstreams: readonly PooledUpstream[]): void {
        this.#upstreams = upstreams;
        this.#cache.clear();
    }

    /**
     * Records the summary of another service host.
     * @param partKey - The key of its part of the service.
     * @param upstreams - The summaries of its upstreams.
     */
    recordRemote(partKey: string, upstreams: readonly UpstreamSummary[]): void {
        this.#remote.set(partKey, { time: this.#clock.getTime(), upstreams });
    }

    /** Gets the summary of this part for other service hosts. */
    getSummary(): readonly UpstreamSummary[] {
        return this.#upstreams.flatMap(createSummary);
    }

    /**
     * Gets the median rates of the siblings of an upstream.
     * @param upstream - The upstream, which is left out itself.
     */
    getRates(upstream: PooledUpstream): BaselineRates {
        const cached = this.#cache.get(upstream);
        if (cached !== undefined && cached.calls < REFRESH_CALLS) {
            cached.calls++;
            return cached.rates;
        }
        const rates = this.#findRates(upstream);
        this.#cache.set(upstream, { rates, calls: 0 });
        return rates;
    }

    #findRates(upstream: PooledUpstream): BaselineRates {
        const siblings = this.#upstreams.filter(other => other !== upstream && other.isInService())
            .flatMap(createSummary);
        const oldest = this.#clock.getTime() - MAX_AGE_MS;
        for (const remote of this.#remote.values()) {
            if (remote.time >= oldest) {
                siblings.push(...remote.upstreams);
            }
        }
        return {
            errorRate: findMedian(siblings.map(sibling => sibling.errorRate)) ?? 0,
            slowRate: findMedian(siblings.map(sibling => sibling.slowRate)) ?? 0,
            medianMs: findMedian(siblings.map(sibling => sibling.medianMs)),
        };
    }
}

function createSummary(upstream: PooledUpstream): UpstreamSummary[] {
    const { latencies } = upstream.statistics;
    const medianMs = latencies.getQuantile(0.5);
    if (medianMs === undefined || latencies.getCount() < MIN_SAMPLES) {
        return [];
    }
    const errorRate = upstream.statistics.getErrorRate();
    return [{ errorRate, slowRate: upstream.statistics.getSlowRate(), medianMs }];
}

function findMedian(values: number[]): number | undefined {
    values.sort((left, right) => left - right);
    return values[Math.floor((values.length - 1) / 2)];
}
