import { LatencyHistogram } from "./LatencyHistogram.js";

/** Quantiles of a route with fewer samples are undefined. */
const MIN_SAMPLES = 20;
/** Latencies of further routes are not recorded. */
const MAX_ROUTES = 256;
const MEDIAN = 0.5;
const P10 = 0.1;
const P75 = 0.75;
const P99 = 0.99;

/** The latencies of each route of a service, as routes may differ by orders of magnitude. */
export class RouteLatencies {
    readonly #routes = new Map<string, LatencyHistogram>();

    /**
     * Records the latency of a complete answer.
     * @param route - The route's name.
     * @param latencyMs - Time to the first byte, in milliseconds.
     */
    record(route: string, latencyMs: number): void {
        let latencies = this.#routes.get(route);
        if (latencies === undefined && this.#routes.size < MAX_ROUTES) {
            latencies = new LatencyHistogram();
            this.#routes.set(route, latencies);
        }
        latencies?.record(latencyMs);
    }

    /**
     * Gets the median latency of a route in milliseconds; undefined while there are too few samples.
     * @param route - The route's name; undefined if the request has none.
     */
    findMedian(route: string | undefined): number | undefined {
        return this.#findQuantile(route, MEDIAN);
    }

    /**
     * Gets the 10th percentile of a route's latencies in milliseconds; undefined while there are too few samples.
     * @param route - The route's name; undefined if the request has none.
     */
    findP10(route: string | undefined): number | undefined {
        return this.#findQuantile(route, P10);
    }

    /**
     * Gets the 75th percentile of a route's latencies in milliseconds; undefined while there are too few samples.
     * @param route - The route's name; undefined if the request has none.
     */
    findP75(route: string | undefined): number | undefined {
        return this.#findQuantile(route, P75);
    }

    /**
     * Gets the 99th percentile of a route's latencies in milliseconds; undefined while there are too few samples.
     * @param route - The route's name; undefined if the request has none.
     */
    findP99(route: string | undefined): number | undefined {
        return this.#findQuantile(route, P99);
    }

    #findQuantile(route: string | undefined, quantile: number): number | undefined {
        const latencies = route === undefined ? undefined : this.#routes.get(route);
        return latencies === undefined || latencies.getCount() < MIN_SAMPLES
            ? undefined
            : latencies.getQuantile(quantile);
    }
}
