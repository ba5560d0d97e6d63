import { getServiceParts } from "../../configuration/index.js";
import type { Service, ServicePart, Upstream } from "../../configuration/index.js";
import { Decision } from "../../logging/index.js";
import type { NotRunOutcome, Outcome } from "../../outcomes/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../../outcomes/index.js";
import { AttemptRecorder } from "../detection/AttemptRecorder.js";
import { EjectionPolicy } from "../detection/EjectionPolicy.js";
import { OutlierDetector } from "../detection/OutlierDetector.js";
import { RouteLatencies } from "../detection/RouteLatencies.js";
import { ServedShare } from "../detection/ServedShare.js";
import { ServiceBaseline } from "../detection/ServiceBaseline.js";
import { SilentUpstreamMonitor } from "../detection/SilentUpstreamMonitor.js";
import { UnservedRateMonitor } from "../detection/UnservedRateMonitor.js";
import { FirstByteLimit } from "../exchange/FirstByteLimit.js";
import { getPatience } from "../exchange/getPatience.js";
import { isDefiniteStatus } from "../exchange/isDefiniteStatus.js";
import { NoticeRecorder } from "../notices/NoticeRecorder.js";
import type { UpstreamNoticeReport } from "../notices/UpstreamNoticeReport.js";
import { encodeOutcome } from "../outcomes/encodeOutcome.js";
import { HedgedRequest } from "../queue/HedgedRequest.js";
import type { HedgedRequestOptions } from "../queue/HedgedRequestOptions.js";
import type { HedgedResult } from "../queue/HedgedResult.js";
import { RetryBudget } from "../queue/RetryBudget.js";
import { SlotQueue } from "../queue/SlotQueue.js";
import { SlotRunner } from "../queue/SlotRunner.js";
import type { SlotUsage } from "../queue/SlotUsage.js";
import { UpstreamSelector } from "../queue/UpstreamSelector.js";
import type { ServiceAnswer } from "../ServiceAnswer.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { PartCapacityReport } from "../sharing/PartCapacityReport.js";
import type { PartLoadReport } from "../sharing/PartLoadReport.js";
import { PartLoads } from "../sharing/PartLoads.js";
import { createServiceAnswer } from "./createServiceAnswer.js";
import { createUpstreamCounts } from "./createUpstreamCounts.js";
import { createUpstreamStatus } from "./createUpstreamStatus.js";
import { isWarming } from "./isWarming.js";
import { PooledUpstream } from "./PooledUpstream.js";
import type { PoolLoad } from "./PoolLoad.js";
import type { ServicePoolOptions } from "./ServicePoolOptions.js";
import { UpstreamSet } from "./UpstreamSet.js";
import { UpstreamState } from "./UpstreamState.js";
import type { UpstreamStatus } from "./UpstreamStatus.js";

/** Fewer unreachable upstreams may be at fault themselves, rather than this host's network. */
const MIN_UNREACHABLE_UPSTREAMS = 2;
/** Share of unreachable upstreams from which this host counts as cut off. */
const MIN_UNREACHABLE_SHARE = 0.5;
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

/** Queues the requests of one part of a service and runs them on its upstreams. */
export class ServicePool {
    /** Error rates and latencies of the service's upstreams, from this and the other service hosts. */
    readonly baseline: ServiceBaseline;
    /** The rate of unserved requests of the service, over all of its parts. */
    readonly unservedRate: UnservedRateMonitor;
    /** The latest load reports of the service's other parts. */
    readonly otherLoads: PartLoads;
    readonly #options: ServicePoolOptions;
    readonly #part: Pick<ServicePart, "zone" | "key">;
    readonly #selector: UpstreamSelector;
    readonly #limit = new FirstByteLimit();
    readonly #queue: SlotQueue;
    readonly #outlierDetector: OutlierDetector;
    readonly #hedging: HedgedRequestOptions;
    readonly #upstreams: UpstreamSet;
    readonly #budget: RetryBudget;
    readonly #silentUpstreamMonitor: SilentUpstreamMonitor;
    readonly #routeLatencies = new RouteLatencies();
    readonly #servedShare: ServedShare;
    #service: Service;
    #pending = 0;
    #onIdle: (() => void)[] = [];

    /**
     * @param service - The service as configured.
     * @param part - The part of the service.
     * @param options - Dependencies and settings of the pool.
     */
    constructor(
        service: Service,
        part: Pick<ServicePart, "zone" | "key" | "upstreams">,
        options: ServicePoolOptions,
    ) {
        const { clock, random, decisions, policy, transport, notices, getRateShare } = options;
        this.#service = service;
        this.#part = part;
        this.#options = options;
        this.#budget = new RetryBudget(clock, options.getRetryShare, () => this.#getRetryBurst());
        this.baseline = new ServiceBaseline(clock);
        this.#servedShare = new ServedShare(clock);
        this.unservedRate = new UnservedRateMonitor(clock);
        this.otherLoads = new PartLoads(clock);
        this.#selector = new UpstreamSelector(policy, () => this.#budget.hasSpareRetry());
        this.#queue = new SlotQueue({
            clock,
            random,
            selector: this.#selector,
            ends: options.ends,
            getFastLatency: request => this.#routeLatencies.findP10(request.route) ?? this.#limit.getFastLatency(),
            getUsualLatency: request => this.#routeLatencies.findP75(request.route) ?? this.#limit.getFastLatency(),
            getLongLatency: request => this.getLongLatency(request),
            getSlots: () => this.#getSlots(),
            getCapacity: () => this.#getSlots() * this.#service.queuePerSlot,
        });
        this.#outlierDetector = new OutlierDetector(service, {
            clock,
            random,
            decisions,
            policy,
            baseline: this.baseline,
            hasCapacityElsewhere: () => this.#hasCapacityInOtherParts(),
            onCapacityChange: () => this.#runQueue(),
        });
        const noticeRecorder = new NoticeRecorder(notices, decisions);
        const recorder = new AttemptRecorder({
            clock,
            outlierDetector: this.#outlierDetector,
            limit: this.#limit,
            routeLatencies: this.#routeLatencies,
            getMinFailureWait: (pooled, request) => this.#getMinFailureWait(pooled, request),
            onCapacityChange: () => this.#runQueue(),
            onNotice: (pooled, notice, isSuccess) =>
                noticeRecorder.record(this.#service.name, pooled.getUpstream(), notice, isSuccess),
        });
        const runner = new SlotRunner({
            ...options,
            recorder,
            limit: this.#limit,
            budget: this.#budget,
            getSlotTime: request => this.#queue.getRouteSlotTime(request),
            onRelease: (pooled, request, use) => this.#release(pooled, request, use),
        });
        this.#hedging = {
            clock,
            decisions,
            runner,
            findPatience: (request, deadline) => this.#findPatience(request, deadline),
            claimRetry: options.claimRetry,
            claimSlot: request => this.#claimRetry(request),
        };
        this.#silentUpstreamMonitor = new SilentUpstreamMonitor(
            clock,
            () => this.#upstreams.getAll(),
            upstream => this.#ejectSilent(upstream),
        );
        this.#upstreams = new UpstreamSet({ clock, decisions, transport, policy, notices, getRateShare });
        this.apply(service, part.upstreams);
    }

    /**
     * Applies a new configuration.
     * @param service - The service as now configured.
     * @param upstreams - The upstreams of the part.
     */
    apply(service: Service, upstreams: readonly Upstream[]): void {
        this.#service = service;
        this.#upstreams.apply(service, upstreams);
        const pooled = this.#upstreams.getAll();
        this.#selector.apply(pooled);
        this.baseline.apply(pooled);
        this.#outlierDetector.apply(service, pooled);
        this.#runQueue();
    }

    /** Applies what upstreams have said about themselves to other hosts. */
    applyNotices(): void {
        this.#upstreams.applyNotices();
        this.#runQueue();
    }

    /**
     * Runs one attempt; never rejects.
     * @param request - The request.
     * @param signal - Aborted when the caller disconnects.
     */
    async run(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        this.#pending++;
        const start = this.#options.clock.getTime();
        const slot = signal.aborted
            ? createNotRun(RefusalReason.DeadlineExceeded, "The caller left before the request was sent.")
            : await this.#claimSlot(request, signal);
        if (!(slot instanceof PooledUpstream)) {
            this.#recordFinish();
            this.unservedRate.record(false);
            return this.#createAnswer(request, this.#refuse(request, slot), undefined);
        }
        this.#silentUpstreamMonitor.start();
        const result = await new HedgedRequest(this.#hedging, request, start + request.timeoutMs, signal).run(slot);
        this.#recordServed(request, result.outcome);
        return this.#createAnswer(request, result.outcome, result);
    }

    /**
     * Removes the evidence of a crash that was caused by a quarantined request.
     * @param requestId - The id of the request.
     */
    removeCrash(requestId: string): void {
        this.#outlierDetector.removeCrash(requestId);
        this.#queue.run();
    }

    /** Gets the service as configured. */
    getService(): Service {
        return this.#service;
    }

    /**
     * Gets the time within which nearly all answers to such requests start, in milliseconds.
     * @param request - The request.
     */
    getLongLatency({ route, targetMs, timeoutMs }: ServiceRequest): number {
        return this.#routeLatencies.findP99(route) ?? targetMs ?? timeoutMs;
    }

    /** Refuses queued requests that can no longer be expected to end before a stopping host aborts them. */
    applyEnds(): void {
        this.#queue.applyEnds();
    }

    /** Waits until no request is queued or running. */
    async drain(): Promise<void> {
        if (this.#pending > 0) {
            await new Promise<void>(resolve => this.#onIdle.push(resolve));
        }
    }

    /** Stops the timers and refuses the queued requests. */
    stop(): void {
        this.#silentUpstreamMonitor.stop();
        this.#outlierDetector.stop();
        this.refuseWaiting(createNotRun(RefusalReason.HostStopping, "The host is stopping.", 0));
    }

    /**
     * Refuses all queued requests.
     * @param refusal - The outcome of each.
     */
    refuseWaiting(refusal: NotRunOutcome): void {
        this.#queue.refuse(() => true, refusal);
    }

    /** Whether so many upstreams are unreachable that this host's network is the likely cause. */
    isCutOff(): boolean {
        const upstreams = this.#upstreams.getAll().filter(pooled => pooled.getState() !== UpstreamState.Draining);
        const unreachable = upstreams.filter(pooled => pooled.isSilent || pooled.isConnectFailing).length;
        return this.#options.policy === EjectionPolicy.Prompt &&
            unreachable >= Math.max(MIN_UNREACHABLE_UPSTREAMS, MIN_UNREACHABLE_SHARE * upstreams.length);
    }

    /** Clears the unreachable marks of all upstreams. */
    restoreReachability(): void {
        this.#upstreams.getAll().forEach(pooled => {
            pooled.isSilent = false;
            pooled.isConnectFailing = false;
        });
    }

    /** Gets the recent load of the pool. */
    getLoad(): PoolLoad {
        return {
            service: this.#service.name,
            zone: this.#part.zone,
            part: this.#part.key,
            ...createUpstreamCounts(this.#upstreams.getAll()),
            slots: Math.round(this.#getSlots()),
            freeSlots: this.#upstreams.getFreeSlots(),
            queued: this.#queue.getSize(),
            ...this.unservedRate.getCounts(),
            isUnservedRateHigh: this.unservedRate.isUnservedRateHigh(),
        };
    }

    /** Gets what the upstreams of the service, of all its parts, have said about themselves. */
    getNotices(): readonly UpstreamNoticeReport[] {
        return this.#options.notices.getReports(this.#service.upstreams);
    }

    /** Gets the load of this part, which entry hosts use to select a part. */
    getPartLoad(): Omit<PartLoadReport, "part"> {
        return {
            freeSlots: this.#upstreams.getFreeSlots(),
            queued: this.#queue.getSize(),
            capacity: this.#getCapacity(),
            ageMs: 0,
        };
    }

    #getCapacity(): PartCapacityReport {
        const queued = this.#queue.getSize();
        const slotTimeMs = this.#queue.getSlotTime();
        const waitMs = queued === 0 && this.#selector.hasFreeSlot()
            ? 0
            : this.#selector.getPauseMs() + queued * slotTimeMs / (this.#getSlots() || 1);
        return {
            slots: Math.round(this.#upstreams.getSoundSlots(slotTimeMs)),
            slotTimeMs: Math.round(slotTimeMs),
            waitMs: Math.round(waitMs),
            servedShare: this.#servedShare.getShare(),
        };
    }

    /** Gets the status of each upstream for operators. */
    getStatus(): readonly UpstreamStatus[] {
        return this.#upstreams.getAll().map(pooled => createUpstreamStatus(pooled, this.#service.name));
    }

    async #claimSlot(request: ServiceRequest, signal: AbortSignal): Promise<PooledUpstream | NotRunOutcome> {
        this.#outlierDetector.startTrialIfNeeded(this.unservedRate.isUnservedRateHigh(), !this.#selector.hasFreeSlot());
        if (!this.#selector.hasCandidate(request)) {
            return createNoUpstreamRefusal();
        }
        if (this.#isWarming() && !this.#selector.hasFreeSlot() && this.#hasCapacityInOtherParts()) {
            const detail = "The upstreams of this part are cold, and others have capacity.";
            return createNotRun(RefusalReason.Overloaded, detail, Math.ceil(this.#selector.getPauseMs()));
        }
        if (request.sentBefore === 0) {
            this.#budget.grant(request.isCounted === true ? 0 : this.#service.retryBudget, this.#getRetryRate());
        }
        else if (!this.#budget.spend(request.priority)) {
            return createNotRun(RefusalReason.RetryBudgetSpent, "The service's retry budget is spent.");
        }
        const slot = await this.#queue.wait(request, this.#options.getWeight(request.account), signal);
        if (request.sentBefore > 0 && !(slot instanceof PooledUpstream)) {
            this.#budget.grantUnused();
        }
        return slot;
    }

    #getSlots(): number {
        return this.#upstreams.getSlots(this.#queue.getSlotTime());
    }

    #ejectSilent(upstream: PooledUpstream): void {
        if (this.#options.policy === EjectionPolicy.Prompt) {
            this.#outlierDetector.ejectSilent(upstream);
            this.#options.transport.closeIdle(upstream.getUpstream());
        }
    }

    /** A failed idempotent request is not counted as unserved: it is retried elsewhere, and its last attempt counts. */
    #recordServed(request: ServiceRequest, outcome: Outcome): void {
        if (outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.NotSendable) {
            return;
        }
        const isServed = outcome.kind === OutcomeKind.Done && isDefiniteStatus(outcome.status);
        this.#servedShare.record(isServed);
        if (isServed || !request.isIdempotent) {
            this.unservedRate.record(isServed);
        }
    }

    #getMinFailureWait(pooled: PooledUpstream, request: ServiceRequest): number {
        const { slowFactor, minPatienceMs } = this.#service.detection;
        const usualMs = this.#routeLatencies.findMedian(request.route) ?? this.baseline.getRates(pooled).medianMs ?? 0;
        return Math.max(minPatienceMs ?? 0, slowFactor * usualMs);
    }

    #findPatience(request: ServiceRequest, deadline: number): number | undefined {
        const remainingMs = deadline - this.#options.clock.getTime();
        return this.#options.policy === EjectionPolicy.Prompt
            ? getPatience(request, this.#routeLatencies.findP75(request.route), remainingMs)
            : undefined;
    }

    /** Claims an upstream for an overdue request; under full load, it would take the slot of a queued one. */
    #claimRetry(request: ServiceRequest): PooledUpstream | undefined {
        const upstream = this.#budget.hasSpareRetry() ? this.#queue.claimFreeSlot(request) : undefined;
        if (upstream !== undefined) {
            this.#budget.spend();
            this.#pending++;
        }
        return upstream;
    }

    /** Gets the part's share of the service's retry rate, per second: all parts have equal shares. */
    #getRetryRate(): number {
        return (this.#service.retryRate ?? 0) / this.#getPartCount();
    }

    /** Gets the part's share of the retries that the service may grant at once. */
    #getRetryBurst(): number {
        return (this.#service.retryBurst ?? Number.POSITIVE_INFINITY) / this.#getPartCount();
    }

    #getPartCount(): number {
        return Math.max(1, getServiceParts(this.#service).length);
    }

    /** A part without a recent load report counts as having free slots, unless its upstreams are cold. */
    #hasCapacityInOtherParts(): boolean {
        const time = this.#options.clock.getTime();
        return getServiceParts(this.#service).some(({ key, slots, upstreams }) =>
            key !== this.#part.key && slots > 0 && !this.otherLoads.isFull(key) &&
            !isWarming(this.#service, upstreams, time)
        );
    }

    #isWarming(): boolean {
        const upstreams = this.#upstreams.getAll().map(pooled => pooled.getUpstream());
        return isWarming(this.#service, upstreams, this.#options.clock.getTime());
    }

    /** Refuses queued requests that no upstream may run any more, and starts others as slots are free. */
    #runQueue(): void {
        this.#queue.refuse(request => !this.#selector.hasCandidate(request), createNoUpstreamRefusal());
        this.#queue.run();
        if (this.#options.policy === EjectionPolicy.Prompt) {
            this.#queue.refuseExcess();
            this.#queue.refuseHopeless();
        }
    }

    #refuse(request: ServiceRequest, outcome: NotRunOutcome): NotRunOutcome {
        if (!request.isIdempotent) {
            this.#options.outcomes.recordEnd(request.requestId, encodeOutcome(outcome, undefined), undefined);
        }
        const { requestId, account, service } = request;
        this.#options.decisions.record({
            decision: Decision.Refused,
            reason: outcome.reason,
            detail: outcome.detail,
            requestId,
            account,
            service,
            figures: { priority: request.priority ?? 0, retryAfterMs: outcome.retryAfterMs ?? 0 },
        });
        return outcome;
    }

    #release(pooled: PooledUpstream, request: ServiceRequest, { expectedMs, usedMs }: SlotUsage): void {
        this.#queue.recordSlotTime(request, expectedMs, usedMs);
        this.#upstreams.release(pooled);
        this.#queue.run();
        this.#recordFinish();
    }

    #recordFinish(): void {
        this.#pending--;
        if (this.#pending === 0) {
            this.#onIdle.splice(0).forEach(resolve => resolve());
        }
    }

    #createAnswer(
        { route, hasRecentLoads }: ServiceRequest,
        outcome: Outcome,
        result: HedgedResult | undefined,
    ): ServiceAnswer {
        return createServiceAnswer(outcome, result, {
            load: this.getPartLoad(),
            usualMs: this.#routeLatencies.findP75(route),
            otherLoads: hasRecentLoads === true ? [] : this.otherLoads.getReports(),
            notices: this.getNotices(),
        });
    }
}

function createNoUpstreamRefusal(): NotRunOutcome {
    return createNotRun(RefusalReason.NoUpstream, "No upstream can run it now.", NO_UPSTREAM_RETRY_AFTER_MS);
}
