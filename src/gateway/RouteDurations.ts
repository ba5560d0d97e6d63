/** Durations kept for each route, the newest ones. */
const MAX_DURATIONS = 32;
/** Durations of further routes are not kept. */
const MAX_ROUTES = 256;
/** A request may take longer than the longest of the newest ones by this factor. */
const MARGIN_FACTOR = 1.25;

/** The newest durations of whole answers by route, which tell how long another request may take. */
export class RouteDurations {
    readonly #durations = new Map<string, number[]>();

    /**
     * Records the duration of a request whose answer was whole.
     * @param route - The route's name.
     * @param durationMs - From the arrival of the request to the end of its answer, in milliseconds.
     */
    record(route: string, durationMs: number): void {
        const durations = this.#durations.get(route) ?? [];
        if (durations.length === 0 && this.#durations.size >= MAX_ROUTES) {
            return;
        }
        durations.push(durationMs);
        if (durations.length > MAX_DURATIONS) {
            durations.shift();
        }
        this.#durations.set(route, durations);
    }

    /**
     * Finds the time that a request may take, in milliseconds; undefined if none of its route has ended yet.
     * @param route - The route's name.
     */
    findLongest(route: string): number | undefined {
        const durations = this.#durations.get(route);
        return durations === undefined ? undefined : MARGIN_FACTOR * Math.max(...durations);
    }
}
