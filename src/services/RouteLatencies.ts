import { LatencyHistogram } from "./LatencyHistogram.js";

/** Answers of a route before its median is known well enough. */
const MIN_SAMPLES = 20;
/** Routes that are told apart; those that come later are not. */
const MAX_ROUTES = 256;
const MEDIAN = 0.5;
/** One answer in ten is faster. */
const FAST_QUANTILE = 0.1;
/** Three answers in four are faster. */
const USUAL_QUANTILE = 0.75;

/** The usual latency of each route of a service, since a service's routes may differ by orders of magnitude. */
export class RouteLatencies {
    readonly #routes = new Map<string, LatencyHistogram>();

    /**
     * Records an answer in time.
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
     * Gets the median latency of a route in milliseconds; undefined while too little is known.
     * @param route - The route's name; undefined if the request has none.
     */
    findMedian(route: string | undefined): number | undefined {
        return this.#findQuantile(route, MEDIAN);
    }

    /**
     * Gets a latency that few answers of a route undercut, in milliseconds; undefined while too little is known.
     * @param route - The route's name; undefined if the request has none.
     */
    findP10(route: string | undefined): number | undefined {
        return this.#findQuantile(route, FAST_QUANTILE);
    }

    /**
     * Gets the time within which most answers of a route come, in milliseconds; undefined while too little is known.
     * @param route - The route's name; undefined if the request has none.
     */
    findP75(route: string | undefined): number | undefined {
        return this.#findQuantile(route, USUAL_QUANTILE);
    }

    #findQuantile(route: string | undefined, quantile: number): number | undefined {
        const latencies = route === undefined ? undefined : this.#routes.get(route);
        return latencies === undefined || latencies.getCount() < MIN_SAMPLES
            ? undefined
            : latencies.getQuantile(quantile);
    }
}
