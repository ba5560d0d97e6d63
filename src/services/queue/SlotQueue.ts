import type { NotRunOutcome } from "../../outcomes/index.js";
import { createNotRun, RefusalReason } from "../../outcomes/index.js";
import type { ScheduledCall } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { FairQueue } from "./FairQueue.js";
import type { QueuedRequest } from "./QueuedRequest.js";
import type { SlotQueueOptions } from "./SlotQueueOptions.js";

/** Weight of a new sample in the moving average of the slot time. */
const SMOOTHING = 1 / 32;
const DEFAULT_SLOT_TIME_MS = 10;
const MIN_RETRY_AFTER_MS = 100;
/** Callers that are refused while no upstream wants requests return spread over this share of the time named to them. */
const RETURN_SPREAD_SHARE = 0.25;

/** Queues requests for slots, fairly among accounts, and refuses those that would miss their deadlines. */
export class SlotQueue {
    readonly #options: SlotQueueOptions;
    readonly #queue = new FairQueue<QueuedRequest>();
    #slotTimeMs = DEFAULT_SLOT_TIME_MS;
    #hasSlotTime = false;
    #pauseEnd: ScheduledCall | undefined;

    /** @param options - Dependencies and limits of the queue. */
    constructor(options: SlotQueueOptions) {
        this.#options = options;
    }

    /** Gets the number of queued requests. */
    getSize(): number {
        return this.#queue.getSize();
    }

    /**
     * Waits for a slot; returns the upstream whose slot was claimed, or the refusal.
     * @param request - The request.
     * @param weight - The account's share relative to others.
     * @param signal - Aborted when the caller disconnects, which ends the wait at once.
     */
    async wait(
        request: ServiceRequest,
        weight: number,
        signal: AbortSignal,
    ): Promise<PooledUpstream | NotRunOutcome> {
        const isTrial = this.#options.selector.hasTrial(request);
        const refusal = isTrial
            ? undefined
            : this.#checkDeadline(request, weight) ?? this.#checkCapacity(request, weight);
        if (refusal !== undefined) {
            return refusal;
        }
        return await new Promise(resolve => this.#add(request, weight, signal, resolve));
    }

    /** Starts queued requests while upstreams have free slots for them. */
    run(): void {
        this.#runAll();
        this.#pauseEnd?.cancel();
        const pauseMs = this.#queue.getSize() === 0 ? undefined : this.#options.selector.findNextPauseMs();
        this.#pauseEnd = pauseMs === undefined
            ? undefined
            : this.#options.clock.schedule(Math.ceil(pauseMs), () => this.run());
    }

    #runAll(): void {
        while (this.#hasRunnable()) {
            let upstream: PooledUpstream | undefined;
            const item = this.#queue.select(candidate => {
                upstream = this.#options.selector.select(candidate.request);
                return upstream !== undefined;
            });
            if (item === undefined || upstream === undefined) {
                return;
            }
            upstream.claim(this.#options.getUsualLatency(item.request), item.request.timeoutMs);
            item.onSelected(upstream);
        }
    }

    /**
     * Records how long a request used its slot.
     * @param account - The account.
     * @param expectedMs - The expected time, in milliseconds.
     * @param usedMs - The time used, in milliseconds.
     */
    recordSlotTime(account: string | undefined, expectedMs: number, usedMs: number): void {
        this.#slotTimeMs = this.#hasSlotTime ? this.#slotTimeMs + SMOOTHING * (usedMs - this.#slotTimeMs) : usedMs;
        this.#hasSlotTime = true;
        this.#queue.recordCost(account, usedMs - expectedMs);
    }

    /** Gets the mean time for which a request uses a slot, in milliseconds. */
    getSlotTime(): number {
        return this.#slotTimeMs;
    }

    /** Refuses queued requests beyond the capacity, which shrinks with the usable slots; the newest of the longest queue first. */
    refuseExcess(): void {
        const capacity = this.#options.getCapacity();
        while (this.#queue.getSize() > capacity) {
            const newest = this.#queue.findNewestOfLongest()!;
            newest.onRefused(this.#createFullRefusal(newest.account, newest.weight));
        }
    }

    /**
     * Refuses the queued requests that match a condition.
     * @param isRefused - Whether to refuse a request.
     * @param refusal - The outcome of each.
     */
    refuse(isRefused: (request: ServiceRequest) => boolean, refusal: NotRunOutcome): void {
        this.#queue.getItems().filter(item => isRefused(item.request)).forEach(item => item.onRefused(refusal));
    }

    #hasRunnable(): boolean {
        const { selector } = this.#options;
        return this.#queue.getSize() > 0 &&
            (selector.hasFreeSlot() || this.#queue.getItems().some(item => selector.hasTrial(item.request)));
    }

    #add(
        request: ServiceRequest,
        weight: number,
        signal: AbortSignal,
        resolve: (result: PooledUpstream | NotRunOutcome) => void,
    ): void {
        const { clock, getUsualLatency } = this.#options;
        const cancel = (): void =>
            item.onRefused(createNotRun(RefusalReason.DeadlineExceeded, "The caller left while the request waited."));
        const timer = clock.schedule(
            Math.max(0, request.timeoutMs - getUsualLatency(request)),
            () => item.onRefused(this.#createDeadlineRefusal(this.#slotTimeMs)),
        );
        const sendResult = (result: PooledUpstream | NotRunOutcome): void => {
            timer.cancel();
            signal.removeEventListener("abort", cancel);
            resolve(result);
        };
        const item: QueuedRequest = {
            account: request.account,
            weight,
            cost: this.#slotTimeMs,
            request,
            onSelected: sendResult,
            onRefused: refusal => {
                this.#queue.remove(item);
                sendResult(refusal);
            },
        };
        signal.addEventListener("abort", cancel, { once: true });
        this.#queue.add(item);
        this.run();
    }

    #checkDeadline(request: ServiceRequest, weight: number): NotRunOutcome | undefined {
        const { selector, getFastLatency, getUsualLatency } = this.#options;
        if (request.timeoutMs < getFastLatency(request)) {
            return this.#createDeadlineRefusal(this.#slotTimeMs);
        }
        const mustWait = !selector.hasFreeSlot() || this.#queue.getSize() > 0;
        if (!mustWait) {
            return undefined;
        }
        const waitMs = this.#measureWait(request.account, weight);
        return waitMs + getUsualLatency(request) > request.timeoutMs ? this.#createDeadlineRefusal(waitMs) : undefined;
    }

    #checkCapacity(request: ServiceRequest, weight: number): NotRunOutcome | undefined {
        const size = this.#queue.getSize();
        if (size < this.#options.getCapacity() || (size === 0 && this.#options.selector.hasFreeSlot())) {
            return undefined;
        }
        const newest = this.#queue.findNewestOfLongest();
        const own = this.#queue.measureWeightedLength(request.account) + 1 / weight;
        const longest = newest === undefined ? 0 : this.#queue.measureWeightedLength(newest.account);
        if (newest === undefined || own >= longest) {
            return this.#createFullRefusal(request.account, weight);
        }
        newest.onRefused(this.#createFullRefusal(newest.account, newest.weight));
        return undefined;
    }

    #measureWait(account: string | undefined, weight: number): number {
        const pauseMs = this.#options.selector.getPauseMs();
        if (!this.#hasSlotTime) {
            return pauseMs;
        }
        const slots = this.#options.getSlots() || 1;
        return pauseMs + this.#queue.measureItemsAhead(account, weight) * this.#slotTimeMs / slots;
    }

    #createDeadlineRefusal(waitMs: number): NotRunOutcome {
        const retryAfterMs = this.#getRetryAfter(waitMs);
        return createNotRun(RefusalReason.Overloaded, "No slot would be free before the deadline.", retryAfterMs);
    }

    #createFullRefusal(account: string | undefined, weight: number): NotRunOutcome {
        const retryAfterMs = this.#getRetryAfter(this.#measureWait(account, weight));
        return createNotRun(RefusalReason.Overloaded, "The account's share of the queue is full.", retryAfterMs);
    }

    #getRetryAfter(waitMs: number): number {
        const { selector, random } = this.#options;
        const spreadMs = selector.getPauseMs() > 0 ? random.getNext() * RETURN_SPREAD_SHARE * waitMs : 0;
        return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs + spreadMs));
    }
}
