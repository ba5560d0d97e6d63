import { PriorityWork } from "./PriorityWork.js";
import type { QueuedRequest } from "./QueuedRequest.js";
import { RouteSlotTimes } from "./RouteSlotTimes.js";
import type { SlotQueueOptions } from "./SlotQueueOptions.js";

/** Share of the slots that counts as left to a request whatever more urgent ones ask for, as lower priorities keep a share. */
const MIN_SLOT_SHARE = 0.1;

/** Estimates how long requests wait for a slot, by the slots, the slot times and what was asked lately. */
export class WaitEstimator {
    readonly #options: Pick<SlotQueueOptions, "clock" | "selector" | "getSlots">;
    readonly #slotTimes = new RouteSlotTimes();
    readonly #demand: PriorityWork;

    /** @param options - The slots of the queue and the source of time. */
    constructor(options: Pick<SlotQueueOptions, "clock" | "selector" | "getSlots">) {
        this.#options = options;
        this.#demand = new PriorityWork(options.clock);
    }

    /**
     * Records that a request asks for slot time.
     * @param request - The request.
     */
    recordAsked({ priority, cost }: QueuedRequest): void {
        this.#demand.add(priority, cost);
    }

    /**
     * Records how long a request used its slot.
     * @param route - The route's name; undefined if the request has none.
     * @param usedMs - The time used, in milliseconds.
     */
    recordSlotTime(route: string | undefined, usedMs: number): void {
        this.#slotTimes.record(route, usedMs);
    }

    /** Gets the mean time for which a request uses a slot, in milliseconds. */
    getSlotTime(): number {
        return this.#slotTimes.getMean();
    }

    /**
     * Gets the mean time for which requests of a route use a slot, in milliseconds.
     * @param route - The route's name; undefined if the request has none.
     */
    getRouteSlotTime(route: string | undefined): number {
        return this.#slotTimes.getRouteMean(route);
    }

    /**
     * Measures the wait behind work of the queue and for the next slot, while more urgent requests keep coming as they did lately, in
     * milliseconds. Others of the same priority go first too once the target is missed, and all others if the account is ahead of its share.
     * @param workMs - The slot time of what starts before the request, in milliseconds.
     * @param request - The request.
     * @param isAheadOfShare - Whether its account is ahead of its share.
     */
    measureWait(workMs: number, { priority, dueTime }: QueuedRequest, isAheadOfShare: boolean): number {
        const { clock, selector, getSlots } = this.#options;
        if (!this.#slotTimes.hasSamples()) {
            return selector.getPauseMs();
        }
        const slots = getSlots() || 1;
        const startMs = this.measureLeastWait(0);
        const measure = (lowest: number): number =>
            startMs + workMs / Math.max(MIN_SLOT_SHARE * slots, slots - this.#demand.getSlotsAbove(lowest));
        if (isAheadOfShare) {
            return measure(Infinity);
        }
        const waitMs = measure(priority);
        return clock.getTime() + waitMs > dueTime ? measure(priority + 1) : waitMs;
    }

    /**
     * Measures the wait behind work of the queue and for the next slot if no other request comes, in milliseconds.
     * @param workMs - The slot time of what starts before the request, in milliseconds.
     */
    measureLeastWait(workMs: number): number {
        const { selector, getSlots } = this.#options;
        const pauseMs = selector.getPauseMs();
        if (!this.#slotTimes.hasSamples()) {
            return pauseMs;
        }
        const slots = getSlots() || 1;
        return pauseMs + (workMs + (selector.hasFreeSlot() ? 0 : this.getSlotTime())) / slots;
    }
}
