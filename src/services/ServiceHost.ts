import { getPartKey, getServiceParts } from "../configuration/index.js";
import type { Configuration, Service, Upstream } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import type { NotRunOutcome, Outcome } from "../outcomes/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";
import { PeerMethod } from "../peers/index.js";
import { EjectionPolicy } from "./detection/EjectionPolicy.js";
import { findRequestDefect } from "./exchange/findRequestDefect.js";
import { UpstreamNotices } from "./notices/UpstreamNotices.js";
import { decodeOutcome } from "./outcomes/decodeOutcome.js";
import { OutcomeCache } from "./outcomes/OutcomeCache.js";
import { RequestState } from "./outcomes/RequestState.js";
import type { HostedPool } from "./pools/HostedPool.js";
import type { PoolLoad } from "./pools/PoolLoad.js";
import { ServicePool } from "./pools/ServicePool.js";
import type { UpstreamStatus } from "./pools/UpstreamStatus.js";
import { RequestEnds } from "./queue/RequestEnds.js";
import type { ServiceAnswer } from "./ServiceAnswer.js";
import type { ServiceHostOptions } from "./ServiceHostOptions.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import type { ServiceRunner } from "./ServiceRunner.js";
import { BaselineSharer } from "./sharing/BaselineSharer.js";
import { HostShares } from "./sharing/HostShares.js";
import type { RecordSenderEndParams } from "./sharing/RecordSenderEndParams.js";

/** Interval between reports, in milliseconds: two within the two-second window over which the floor is measured. */
const SHARE_INTERVAL_MS = 1_000;
const DEFAULT_WEIGHT = 1;
/** How long the sender of a request may take to say whether it may be sent to one more upstream, in milliseconds. */
const CLAIM_RETRY_TIMEOUT_MS = 500;
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;
/**
 * How long a pool with unreachable upstreams is handed over to another host, in milliseconds. Network partitions last five to
 * twelve seconds. If the pool returned earlier, requests to upstreams that are still unreachable would fail.
 */
const HAND_OVER_MS = 10_000;

/** An entry host in its role as service host: queues requests, selects upstreams and ejects faulty ones. */
export class ServiceHost implements ServiceRunner {
    /** What upstreams have said about themselves, to this host or to others. */
    readonly notices: UpstreamNotices;
    readonly #options: ServiceHostOptions;
    readonly #outcomes: OutcomeCache;
    readonly #sharer: BaselineSharer;
    readonly #pools = new Map<string, HostedPool>();
    /** Pools of services that are no longer configured, while they run requests. */
    readonly #removedPools = new Set<ServicePool>();
    readonly #ends: RequestEnds;
    #configuration: Configuration | undefined;
    #isStopping = false;
    #task = new AbortController();

    /** @param options - Dependencies and settings of the service host. */
    constructor(options: ServiceHostOptions) {
        this.#options = options;
        this.notices = new UpstreamNotices(options.clock);
        this.notices.addLeavingListener(() => this.#pools.forEach(({ pool }) => pool.applyNotices()));
        this.#outcomes = new OutcomeCache(options.clock);
        this.#ends = new RequestEnds(options.clock);
        this.#sharer = new BaselineSharer(options.membership, options.peers);
        options.handlers.add(PeerMethod.ShareBaseline, params => {
            this.notices.recordReports(params.notices ?? []);
            return { isUsed: this.#sharer.record([...this.#pools.values()], params) };
        });
        options.handlers.add(PeerMethod.FindOutcome, params => this.#outcomes.findOrRefuse(params));
        options.handlers.add(PeerMethod.IsServing, () => ({ isServing: !this.#isStopping }));
        options.handlers.add(PeerMethod.RecordSenderEnd, params => {
            this.recordSenderEnd(params);
            return {};
        });
        options.handlers.add(PeerMethod.RemoveCrash, ({ requestId }) => {
            this.removeCrash(requestId);
            return { requestId };
        });
    }

    /** Starts sharing baselines with the other service hosts. */
    start(): void {
        this.#task = new AbortController();
        void this.#runSharing(this.#task.signal);
    }

    /**
     * Applies a new version of the configuration.
     * @param configuration - The new version.
     */
    apply(configuration: Configuration): void {
        this.#configuration = configuration;
        for (const [key, { service, partKey, pool }] of this.#pools) {
            const configured = configuration.getService(service);
            pool.apply(configured ?? pool.getService(), findUpstreams(configured, partKey));
            if (configured === undefined) {
                pool.stop();
                this.#pools.delete(key);
                this.#removedPools.add(pool);
                void pool.drain().then(() => this.#removedPools.delete(pool));
            }
        }
    }

    /**
     * Runs one attempt; never rejects.
     * @param request - The request.
     * @param signal - Aborted when the caller disconnects or cancels the request.
     */
    async run(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        const known = request.isIdempotent ? undefined : this.#findKnownAnswer(request.requestId);
        if (known !== undefined) {
            return known;
        }
        if (this.#isStopping) {
            return createAnswer(createNotRun(RefusalReason.HostStopping, "The service host is stopping.", 0));
        }
        const defect = findRequestDefect(request);
        if (defect !== undefined) {
            return createAnswer(this.#refuseDefective(request, defect));
        }
        const hosted = this.#getPool(request);
        if (hosted === undefined) {
            const detail = "The service has no upstream in this zone.";
            return createAnswer(createNotRun(RefusalReason.NoUpstream, detail, NO_UPSTREAM_RETRY_AFTER_MS));
        }
        const ending = this.#findEndRefusal(request, hosted.pool.getLongLatency(request));
        if (ending !== undefined) {
            return createAnswer(ending);
        }
        if (this.#checkHandOver(hosted)) {
            return createAnswer(createCutOffRefusal());
        }
        if (!request.isIdempotent) {
            this.#outcomes.recordStart(request.requestId);
        }
        return await hosted.pool.run(request, signal);
    }

    /**
     * Removes the evidence of a crash that was caused by a quarantined request.
     * @param requestId - The id of the request.
     */
    removeCrash(requestId: string): void {
        this.#pools.forEach(({ pool }) => pool.removeCrash(requestId));
    }

    /**
     * Refuses new and queued requests that can't be expected to end in time.
     * @param endTime - When requests in progress are aborted, in milliseconds of the clock.
     */
    leave(endTime: number): void {
        this.#ends.recordHostEnd(endTime);
        this.#pools.forEach(({ pool }) => pool.applyEnds());
    }

    /**
     * Refuses the queued ones of a leaving host's requests that can't be expected to end before it aborts them.
     * @param params - The requests and the time left.
     */
    recordSenderEnd(params: RecordSenderEndParams): void {
        this.#ends.recordSenderEnd(params);
        this.#pools.forEach(({ pool }) => pool.applyEnds());
    }

    /** Refuses new requests and waits until the accepted ones have ended. */
    async drain(): Promise<void> {
        this.#isStopping = true;
        const pools = [...this.#pools.values()].map(({ pool }) => pool);
        await Promise.all([...pools, ...this.#removedPools].map(pool => pool.drain()));
    }

    /** Stops at once and refuses the queued requests as not run. */
    stop(): void {
        this.#isStopping = true;
        this.#task.abort();
        this.#pools.forEach(({ pool }) => pool.stop());
    }

    /** Gets the status of this host's upstreams for operators. */
    getStatus(): readonly UpstreamStatus[] {
        return [...this.#pools.values()].flatMap(({ pool }) => pool.getStatus());
    }

    /** Gets the recent load of each pool of this host. */
    getLoads(): readonly PoolLoad[] {
        return [...this.#pools.values()].map(({ pool }) => pool.getLoad());
    }

    async #runSharing(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#options.clock.wait(SHARE_INTERVAL_MS, signal).catch(() => {});
            const configuration = this.#configuration;
            if (!signal.aborted && configuration !== undefined) {
                this.#sharer.send([...this.#pools.values()], configuration);
            }
        }
    }

    /** Refuses a request before it takes a place in a queue, a slot or a retry, or becomes evidence against an upstream. */
    #refuseDefective({ requestId, account, service }: ServiceRequest, defect: string): NotRunOutcome {
        const outcome = createNotRun(RefusalReason.NotSendable, `The request can't be sent: ${defect}.`);
        const { reason, detail } = outcome;
        this.#options.decisions.record({ decision: Decision.Refused, reason, detail, requestId, account, service });
        return outcome;
    }

    /** Finds the refusal of a request that this or the sending host would abort before it could end. */
    #findEndRefusal({ requestId, senderRemainingMs }: ServiceRequest, durationMs: number): NotRunOutcome | undefined {
        if (senderRemainingMs !== undefined) {
            this.#ends.recordSenderEnd({ requestIds: [requestId], remainingMs: senderRemainingMs });
        }
        const lastStart = this.#ends.findLastStart(requestId, durationMs);
        return lastStart !== undefined && this.#options.clock.getTime() > lastStart.time
            ? lastStart.refusal
            : undefined;
    }

    #findKnownAnswer(requestId: string): ServiceAnswer | undefined {
        const found = this.#outcomes.find(requestId);
        switch (found?.state) {
            case undefined:
                return undefined;
            case RequestState.Running:
                return createAnswer(createUnknown(UnknownReason.StillRunning, "The request is running already."));
            case RequestState.Finished:
                return found.outcome.kind === OutcomeKind.NotRun
                    ? undefined
                    : createAnswer(decodeOutcome(found.outcome));
            case RequestState.NeverSeen:
                return createAnswer(
                    createNotRun(RefusalReason.HostUnreachable, "The request was given up before it came.", 0),
                );
            case RequestState.Forgotten:
                return undefined;
        }
    }

    /** Hands a pool over to the next service host if this host is cut off from its upstreams; returns whether it is handed over. */
    #checkHandOver(hosted: HostedPool): boolean {
        const { clock, membership, decisions } = this.#options;
        const now = clock.getTime();
        const { service, zone, partKey, pool, handedOverUntil } = hosted;
        if (handedOverUntil !== undefined) {
            if (now < handedOverUntil) {
                return true;
            }
            hosted.handedOverUntil = undefined;
            pool.restoreReachability();
        }
        const [first, next] = pool.isCutOff() ? membership.getServiceHosts(service, zone, partKey) : [];
        if (next === undefined || first!.peerAddress !== membership.getSelf().peerAddress) {
            return false;
        }
        hosted.handedOverUntil = now + HAND_OVER_MS;
        pool.refuseWaiting(createCutOffRefusal());
        decisions.record({
            decision: Decision.HandedOver,
            reason: "its upstreams are out of reach",
            service,
            member: next.id,
            figures: { zone, ms: HAND_OVER_MS },
        });
        return true;
    }

    #getPool(request: ServiceRequest): HostedPool | undefined {
        const partKey = getPartKey(request.zone, request.part ?? 0);
        const key = JSON.stringify([partKey, request.service]);
        const hosted = this.#pools.get(key);
        if (hosted !== undefined) {
            return hosted;
        }
        const service = this.#configuration?.getService(request.service);
        if (service === undefined || findUpstreams(service, partKey).length === 0) {
            return undefined;
        }
        const created = {
            service: service.name,
            zone: request.zone,
            partKey,
            pool: this.#createPool(service, request.zone, partKey),
            handedOverUntil: undefined,
        };
        this.#pools.set(key, created);
        return created;
    }

    /** Gets the weight of an account. Without a rate limit or a key, it is the mean weight of the accounts with a limit. */
    #getWeight(account: string | undefined): number {
        const rate = account === undefined ? 0 : this.#configuration?.getAccount(account)?.rate ?? 0;
        if (rate > 0) {
            return rate;
        }
        const rates = this.#configuration?.getAccounts?.().map(other => other.rate).filter(other => other > 0) ?? [];
        return rates.length === 0 ? DEFAULT_WEIGHT : rates.reduce((sum, other) => sum + other, 0) / rates.length;
    }

    /** Asks the sender, which may have started another attempt itself, as to which both share the route's limit. */
    async #claimRetry({ retryClaim }: ServiceRequest): Promise<boolean> {
        if (retryClaim === undefined) {
            return true;
        }
        const { handlers, membership, peers } = this.#options;
        const { hostAddress, id } = retryClaim;
        try {
            const { isGranted } = hostAddress === membership.getSelf().peerAddress
                ? await handlers.run(PeerMethod.ClaimRetry, { id })
                : await peers.send(hostAddress, PeerMethod.ClaimRetry, { id }, CLAIM_RETRY_TIMEOUT_MS);
            return isGranted;
        }
        catch {
            return false;
        }
    }

    #createPool(service: Service, zone: string, partKey: string): ServicePool {
        const { clock, random, transport, decisions, policy, stallMeter, lateAnswerMs, endsByDeadline } = this.#options;
        const shares = new HostShares(this.#options.membership, service.name, zone, partKey);
        return new ServicePool(service, { zone, key: partKey, upstreams: findUpstreams(service, partKey) }, {
            clock,
            random,
            transport,
            decisions,
            policy: policy ?? EjectionPolicy.Sequential,
            outcomes: this.#outcomes,
            notices: this.notices,
            ends: this.#ends,
            stallMeter,
            lateAnswerMs,
            endsByDeadline,
            getWeight: account => this.#getWeight(account),
            claimRetry: request => this.#claimRetry(request),
            getRetryShare: () => shares.getRetryShare(),
            getRateShare: () => shares.getRateShare(),
        });
    }
}

function findUpstreams(service: Service | undefined, partKey: string): readonly Upstream[] {
    return service === undefined ? [] : getServiceParts(service).find(({ key }) => key === partKey)?.upstreams ?? [];
}

function createCutOffRefusal(): NotRunOutcome {
    return createNotRun(
        RefusalReason.HostCutOff,
        "This host reaches too few upstreams; the next one has the service.",
        0,
    );
}

function createAnswer(outcome: Outcome): ServiceAnswer {
    return { outcome, upstream: undefined, isCrashSuspected: false, freeSlots: 0, queued: 0 };
}
