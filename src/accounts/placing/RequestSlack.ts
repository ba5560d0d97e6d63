import type { Clock } from "../../time/index.js";
import type { DispatchCall } from "../DispatchCall.js";

/** Share of a route's timeout that serves as its target if it has none: half of the time is left for another attempt. */
const TARGET_SHARE_OF_TIMEOUT = 0.5;
/** Share of the target that counts as the usual time of a route whose usual time is not known yet. */
const UNKNOWN_USUAL_SHARE = 0.5;
/** Usual times of further routes are not kept. */
const MAX_ROUTES = 256;

/** Tells how long requests may wait for a slot and still be answered within the targets of their routes. */
export class RequestSlack {
    readonly #clock: Clock;
    readonly #usualMs = new Map<string, number>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records the usual time of a route.
     * @param call - A request of the route.
     * @param usualMs - The time within which most answers start, in milliseconds.
     */
    recordUsual({ request }: DispatchCall, usualMs: number): void {
        const { name } = request.route;
        if (this.#usualMs.has(name) || this.#usualMs.size < MAX_ROUTES) {
            this.#usualMs.set(name, usualMs);
        }
    }

    /**
     * Gets how long a request may wait, in milliseconds; 0 if it would miss its target without any wait.
     * @param call - The request.
     */
    getSlack({ request, deadline }: DispatchCall): number {
        const targetMs = request.route.targetMs ?? TARGET_SHARE_OF_TIMEOUT * request.timeoutMs;
        const usualMs = this.#usualMs.get(request.route.name) ?? UNKNOWN_USUAL_SHARE * targetMs;
        const elapsedMs = request.timeoutMs - (deadline - this.#clock.getTime());
        return Math.max(0, targetMs - usualMs - elapsedMs);
    }
}
