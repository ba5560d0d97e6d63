/** Weight of a new sample in a moving average that has as many samples as this weight's reciprocal, or more. */
const SMOOTHING = 1 / 32;
const DEFAULT_SLOT_TIME_MS = 10;
/** The slot times of further routes are not recorded. */
const MAX_ROUTES = 256;

interface MovingAverage {
    mean: number;
    count: number;
}

/** The mean time for which requests use a slot, by route and over all routes. */
export class RouteSlotTimes {
    readonly #routes = new Map<string, MovingAverage>();
    readonly #all: MovingAverage = { mean: DEFAULT_SLOT_TIME_MS, count: 0 };

    /** Whether any request has used a slot. */
    hasSamples(): boolean {
        return this.#all.count > 0;
    }

    /** Gets the mean slot time of all requests, in milliseconds. */
    getMean(): number {
        return this.#all.mean;
    }

    /**
     * Gets the mean slot time of a route's requests in milliseconds; that of all requests while the route's is unknown.
     * @param route - The route's name; undefined if the request has none.
     */
    getRouteMean(route: string | undefined): number {
        const average = route === undefined ? undefined : this.#routes.get(route);
        return average?.mean ?? this.#all.mean;
    }

    /**
     * Records how long a request used its slot.
     * @param route - The route's name; undefined if the request has none.
     * @param usedMs - The time used, in milliseconds.
     */
    record(route: string | undefined, usedMs: number): void {
        addSample(this.#all, usedMs);
        if (route === undefined) {
            return;
        }
        let average = this.#routes.get(route);
        if (average === undefined) {
            if (this.#routes.size >= MAX_ROUTES) {
                return;
            }
            average = { mean: usedMs, count: 0 };
            this.#routes.set(route, average);
        }
        addSample(average, usedMs);
    }
}

function addSample(average: MovingAverage, sample: number): void {
    average.count++;
    average.mean += Math.max(SMOOTHING, 1 / average.count) * (sample - average.mean);
}
