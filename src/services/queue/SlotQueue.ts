import type { NotRunOutcome } from "../../outcomes/index.js";
import { createNotRun, RefusalReason } from "../../outcomes/index.js";
import type { ScheduledCall } from "../../time/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { compareRanks } from "./compareRanks.js";
import { FairQueue } from "./FairQueue.js";
import type { LastStart } from "./LastStart.js";
import type { QueuedRequest } from "./QueuedRequest.js";
import type { QueueEntry } from "./QueueEntry.js";
import type { SlotQueueOptions } from "./SlotQueueOptions.js";
import { WaitEstimator } from "./WaitEstimator.js";

const MIN_RETRY_AFTER_MS = 100;
/** Callers that are refused while no upstream wants requests return spread over this share of the time named to them. */
const RETURN_SPREAD_SHARE = 0.25;
/** Queued requests are refused if their expected wait exceeds the time left by this factor, as the expectation varies. */
const HOPELESS_FACTOR = 1.25;
/** Share of the queue from which requests are refused at once that rank no higher than one that was refused in the queue lately. */
const CONTENDED_SHARE = 0.5;
/** How long such a refusal tells that more urgent requests keep coming, in milliseconds. */
const DISPLACED_LIFETIME_MS = 1_000;
/** While a route's latency is unknown, most of its answers are expected within this share of its target time. */
const EXPECTED_TARGET_SHARE = 0.5;
/** The least time between two checks for queued requests that can't be served in time, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Queues requests for slots, fairly among accounts, and refuses those that would miss their deadlines or cost callers least. */
export class SlotQueue {
    readonly #options: SlotQueueOptions;
    readonly #queue: FairQueue<QueuedRequest>;
    readonly #waits: WaitEstimator;
    /** The last request that was refused in the queue for a more urgent one, and when. */
    #displaced: { readonly entry: QueueEntry<QueuedRequest>; readonly time: number; } | undefined;
    #checkTime = Number.NEGATIVE_INFINITY;
    #pauseEnd: ScheduledCall | undefined;
    #nextEnding: ScheduledCall | undefined;

    /** @param options - Dependencies and limits of the queue. */
    constructor(options: SlotQueueOptions) {
        this.#options = options;
        this.#queue = new FairQueue(options.clock, () => options.getSlots());
        this.#waits = new WaitEstimator(options);
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
        return await new Promise(resolve => {
            const item = this.#createItem(request, weight, signal, resolve);
            this.#recordAsked(item);
            const refusal = this.#options.selector.hasTrial(request)
                ? undefined
                : this.#checkDeadline(item) ?? this.#checkCapacity(item);
            if (refusal === undefined) {
                this.#queue.add(item);
                this.run();
            }
            else {
                this.#queue.recordRefused(item);
                item.onRefused(refusal);
            }
        });
    }

    /**
     * Claims a slot for a request at once; undefined if others wait for one, none is free, or the request is too late for it.
     * @param request - The request.
     */
    claimFreeSlot(request: ServiceRequest): PooledUpstream | undefined {
        const { selector, getFastLatency } = this.#options;
        if (this.getSize() > 0 || !selector.hasFreeSlot() || request.timeoutMs < getFastLatency(request)) {
            return undefined;
        }
        const upstream = selector.select(request);
        if (upstream !== undefined) {
            upstream.claim(this.#getExpectedLatency(request), request.timeoutMs);
            this.#queue.recordCost(request.account, this.getRouteSlotTime(request));
        }
        return upstream;
    }

    /** Starts queued requests while upstreams have free slots for them. */
    run(): void {
        this.#refuseEnding();
        this.#runAll();
        if (this.#options.clock.getTime() >= this.#checkTime + CHECK_INTERVAL_MS) {
            this.refuseHopeless();
        }
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
            upstream.claim(this.#getExpectedLatency(item.request), item.request.timeoutMs);
            item.onSelected(upstream);
        }
    }

    /**
     * Records how long a request used its slot.
     * @param request - The request.
     * @param expectedMs - The expected time, in milliseconds.
     * @param usedMs - The time used, in milliseconds.
     */
    recordSlotTime({ account, route }: ServiceRequest, expectedMs: number, usedMs: number): void {
        this.#waits.recordSlotTime(route, usedMs);
        this.#queue.recordCost(account, usedMs - expectedMs);
    }

    /** Gets the mean time for which a request uses a slot, in milliseconds. */
    getSlotTime(): number {
        return this.#waits.getSlotTime();
    }

    /**
     * Gets the mean time for which requests of a request's route use a slot, in milliseconds.
     * @param request - The request.
     */
    getRouteSlotTime({ route }: ServiceRequest): number {
        return this.#waits.getRouteSlotTime(route);
    }

    /** Refuses queued requests beyond the capacity, which shrinks with the usable slots; those that cost callers least first. */
    refuseExcess(): void {
        const capacity = this.#options.getCapacity();
        while (this.#queue.getSize() > capacity) {
            this.#refuseFull(this.#queue.findLeastUrgent()!);
        }
    }

    /** Refuses the queued requests that can no longer be served in time as the usable slots, the requests and their times are now. */
    refuseHopeless(): void {
        const { clock } = this.#options;
        this.#checkTime = clock.getTime();
        if (this.#queue.getSize() === 0) {
            return;
        }
        let workMs = 0;
        for (const { item, isAheadOfShare } of this.#queue.getEntries()) {
            const waitMs = this.#waits.measureWait(workMs, item, isAheadOfShare);
            const refusal = waitMs > HOPELESS_FACTOR * (item.lastStartTime - clock.getTime())
                ? this.#createDeadlineRefusal(waitMs)
                : this.#checkSenderEnd(item, workMs);
            if (refusal !== undefined) {
                this.#queue.recordRefused(item);
                item.onRefused(refusal);
            }
            else {
                workMs += item.cost;
            }
        }
    }

    /** Refuses queued requests that can no longer be expected to end before a stopping host aborts them. */
    applyEnds(): void {
        this.refuseHopeless();
        this.run();
    }

    /**
     * Refuses the queued requests that match a condition.
     * @param isRefused - Whether to refuse a request.
     * @param refusal - The outcome of each.
     */
    refuse(isRefused: (request: ServiceRequest) => boolean, refusal: NotRunOutcome): void {
        this.#queue.getItems().filter(item => isRefused(item.request)).forEach(item => item.onRefused(refusal));
    }

    #refuseEnding(): void {
        if (!this.#options.ends.hasEnds()) {
            return;
        }
        const now = this.#options.clock.getTime();
        let nextTime = Number.POSITIVE_INFINITY;
        for (const item of this.#queue.getItems()) {
            const lastStart = this.#findLastStart(item);
            if (lastStart !== undefined && now >= lastStart.time) {
                item.onRefused(lastStart.refusal);
            }
            else {
                nextTime = Math.min(nextTime, lastStart?.time ?? nextTime);
            }
        }
        this.#nextEnding?.cancel();
        this.#nextEnding = nextTime === Number.POSITIVE_INFINITY
            ? undefined
            : this.#options.clock.schedule(Math.ceil(nextTime - now), () => this.run());
    }

    /** Gets the usual latency, or what the route's target suggests while it is unknown; 0 if there is neither. */
    #getExpectedLatency(request: ServiceRequest): number {
        const usualMs = this.#options.getUsualLatency(request);
        return usualMs === 0 ? EXPECTED_TARGET_SHARE * (request.targetMs ?? 0) : usualMs;
    }

    #hasRunnable(): boolean {
        const { selector } = this.#options;
        return this.#queue.getSize() > 0 &&
            (selector.hasFreeSlot() || this.#queue.getItems().some(item => selector.hasTrial(item.request)));
    }

    /** Requests of accounts that are ahead of their shares don't delay others. */
    #recordAsked(item: QueuedRequest): void {
        this.#queue.recordAsked(item);
        if (!this.#queue.getEntry(item).isAheadOfShare) {
            this.#waits.recordAsked(item);
        }
    }

    #createItem(
        request: ServiceRequest,
        weight: number,
        signal: AbortSignal,
        resolve: (result: PooledUpstream | NotRunOutcome) => void,
    ): QueuedRequest {
        const { clock, getUsualLatency } = this.#options;
        const now = clock.getTime();
        const usualMs = getUsualLatency(request);
        const leave = (): void =>
            item.onRefused(createNotRun(RefusalReason.DeadlineExceeded, "The caller left while the request waited."));
        const timer = clock.schedule(
            Math.max(0, request.timeoutMs - usualMs),
            () => item.onRefused(this.#createDeadlineRefusal(this.#measureWait(item))),
        );
        const sendResult = (result: PooledUpstream | NotRunOutcome): void => {
            timer.cancel();
            signal.removeEventListener("abort", leave);
            resolve(result);
        };
        const item: QueuedRequest = {
            account: request.account,
            weight,
            cost: this.getRouteSlotTime(request),
            priority: getPriority(request),
            dueTime: now + Math.min(request.targetMs ?? request.timeoutMs, request.timeoutMs) - usualMs,
            lastStartTime: now + request.timeoutMs - usualMs,
            request,
            onSelected: sendResult,
            onRefused: refusal => {
                this.#queue.remove(item);
                sendResult(refusal);
            },
        };
        signal.addEventListener("abort", leave, { once: true });
        return item;
    }

    #checkDeadline(item: QueuedRequest): NotRunOutcome | undefined {
        const { selector, clock, getFastLatency } = this.#options;
        if (item.request.timeoutMs < getFastLatency(item.request)) {
            return this.#createDeadlineRefusal(this.getSlotTime());
        }
        const mustWait = !selector.hasFreeSlot() || this.#queue.getSize() > 0;
        if (!mustWait) {
            return undefined;
        }
        const waitMs = this.#measureWait(item);
        return waitMs > item.lastStartTime - clock.getTime()
            ? this.#createDeadlineRefusal(waitMs)
            : this.#checkSenderEnd(item, this.#queue.measureWorkAhead(item));
    }

    /** Refuses a request at once whose sender would abort it even if no other request came from now on. */
    #checkSenderEnd(item: QueuedRequest, workMs: number): NotRunOutcome | undefined {
        const lastStart = this.#findLastStart(item);
        if (lastStart?.refusal.reason !== RefusalReason.SenderStopping) {
            return undefined;
        }
        const leftMs = lastStart.time - this.#options.clock.getTime();
        return this.#waits.measureLeastWait(workMs) > HOPELESS_FACTOR * leftMs ? lastStart.refusal : undefined;
    }

    #findLastStart({ request }: QueuedRequest): LastStart | undefined {
        const { ends, getLongLatency } = this.#options;
        return ends.hasEnds() ? ends.findLastStart(request.requestId, getLongLatency(request)) : undefined;
    }

    #checkCapacity(item: QueuedRequest): NotRunOutcome | undefined {
        const size = this.#queue.getSize();
        const capacity = this.#options.getCapacity();
        if (size === 0 && this.#options.selector.hasFreeSlot()) {
            return undefined;
        }
        if (size >= CONTENDED_SHARE * capacity && this.#isLikelyDisplaced(item)) {
            return this.#createFullRefusal(item);
        }
        if (size < capacity) {
            return undefined;
        }
        const refused = this.#queue.findLeastUrgent(item)!;
        if (refused === item) {
            return this.#createFullRefusal(item);
        }
        this.#displaced = { entry: this.#queue.getEntry(refused), time: this.#options.clock.getTime() };
        this.#refuseFull(refused);
        return undefined;
    }

    /** A request that would soon be refused for a more urgent one, or one of an account with a smaller share, is refused at once. */
    #isLikelyDisplaced(item: QueuedRequest): boolean {
        const displaced = this.#displaced;
        if (displaced === undefined || this.#options.clock.getTime() - displaced.time >= DISPLACED_LIFETIME_MS) {
            return false;
        }
        const difference = compareRanks(this.#queue.getEntry(item), displaced.entry);
        return difference > 0 || (difference === 0 && item.account === displaced.entry.item.account);
    }

    #refuseFull(item: QueuedRequest): void {
        this.#queue.recordRefused(item);
        item.onRefused(this.#createFullRefusal(item));
    }

    #measureWait(item: QueuedRequest): number {
        const { isAheadOfShare } = this.#queue.getEntry(item);
        return this.#waits.measureWait(this.#queue.measureWorkAhead(item), item, isAheadOfShare);
    }

    #createDeadlineRefusal(waitMs: number): NotRunOutcome {
        const retryAfterMs = this.#getRetryAfter(waitMs);
        return createNotRun(RefusalReason.Overloaded, "No slot would be free before the deadline.", retryAfterMs);
    }

    #createFullRefusal(item: QueuedRequest): NotRunOutcome {
        const retryAfterMs = this.#getRetryAfter(this.#measureWait(item));
        return createNotRun(RefusalReason.Overloaded, "More urgent requests fill the queue.", retryAfterMs);
    }

    #getRetryAfter(waitMs: number): number {
        const { selector, random } = this.#options;
        const spreadMs = selector.getPauseMs() > 0 ? random.getNext() * RETURN_SPREAD_SHARE * waitMs : 0;
        return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs + spreadMs));
    }
}

/** A priority that is missing or no number counts as the highest. */
function getPriority({ priority = 0 }: ServiceRequest): number {
    return priority > 0 ? priority : 0;
}
