import { PeerUnavailableError } from "../errors/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { createNotRun, createUnknown, RefusalReason, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { PeerMethod, PeerSuspicion } from "../peers/index.js";
import { RequestState } from "../services/index.js";
import type { FindOutcomeResult, ServiceAnswer, ServiceRequest } from "../services/index.js";
import { runWithTimeout } from "../time/index.js";
import type { DispatchAttempt } from "./DispatchAttempt.js";
import type { DispatchCall } from "./DispatchCall.js";
import type { DispatcherOptions } from "./DispatcherOptions.js";
import { getFoundOutcome } from "./getFoundOutcome.js";
import { getUnlessHostRefused } from "./getUnlessHostRefused.js";
import type { HostAnswer } from "./HostAnswer.js";
import { HostWatch } from "./HostWatch.js";
import { SentRequests } from "./SentRequests.js";

const MAX_HOSTS_PER_PART = 3;
const IDEMPOTENT_TIMEOUT_SHARE = 0.5;
const ANSWER_GRACE_MS = 1_000;
const FIND_OUTCOME_TIMEOUT_MS = 500;
const FIND_OUTCOME_INTERVAL_MS = 100;
/** How long after its deadline the outcome of an order is still polled for, in milliseconds. */
const FIND_OUTCOME_LIMIT_MS = 60_000;
const MAX_CONNECT_FAILURES = 3;
/** A host that answered within this time is not checked again, in milliseconds. */
const RECENT_ANSWER_MS = 300;
/** How long an answer to this host outweighs reports of others that the host is unreachable, in milliseconds. */
const OWN_EVIDENCE_LIFETIME_MS = 1_000;
/** How long a host of the same or a neighboring zone may take to answer whether it serves, in milliseconds. */
const IS_SERVING_TIMEOUT_MS = 200;
const DEFAULT_RETRY_AFTER_MS = 1_000;

interface SentRequest {
    readonly request: ServiceRequest;
    /** Time of sending, in milliseconds of the clock. */
    readonly time: number;
    /** Consecutive outcome queries for which no connection to the host could be opened. */
    connectFailures: number;
}

/** Sends attempts to the service hosts of a part of a service, locally or on other entry hosts. */
export class ServiceSender {
    readonly #options: DispatcherOptions;
    readonly #suspicion: PeerSuspicion;
    readonly #sent: SentRequests;

    /** @param options - The sender's dependencies. */
    constructor(options: DispatcherOptions) {
        this.#options = options;
        this.#suspicion = new PeerSuspicion(options.clock);
        this.#sent = new SentRequests(options);
    }

    /**
     * Has what can't be expected to end before this host aborts it refused, wherever it waits.
     * @param endTime - When requests in progress are aborted, in milliseconds of the clock.
     */
    leave(endTime: number): void {
        this.#sent.leave(endTime);
    }

    /**
     * Sends one attempt to the first service host of the part that accepts it; never rejects.
     * @param call - The request.
     * @param attempt - The attempt.
     * @param signal - Aborts the attempt.
     * @param onLate - Called at most once, when the host that runs an idempotent request seems lost and another upstream may be tried;
     * the attempt continues, as its answer may still come.
     */
    async send(
        call: DispatchCall,
        attempt: DispatchAttempt,
        signal: AbortSignal,
        onLate: () => void,
    ): Promise<HostAnswer> {
        let isLate = false;
        const recordLate = (): void => {
            isLate = true;
            onLate();
        };
        for (const host of this.#getHosts(call.service.name, attempt.part)) {
            if (!await this.#isReadyToServe(host, call)) {
                continue;
            }
            const request = this.#createRequest(call, attempt);
            const answer = await this.#sent.run(
                host,
                request.requestId,
                () => this.#sendToHost(host, call, request, signal, attempt.isLast ? undefined : recordLate),
            );
            if (answer !== undefined) {
                return { ...answer, host, attemptId: request.requestId };
            }
            if (isLate) {
                break;
            }
        }
        const detail = `No service host of zone ${attempt.part.zone} could be reached.`;
        const outcome = createNotRun(RefusalReason.HostUnreachable, detail, DEFAULT_RETRY_AFTER_MS);
        return { ...createAnswer(outcome), host: undefined };
    }

    /** Sends the request to one host; returns undefined if it certainly reached no upstream there. */
    async #sendToHost(
        host: Member,
        call: DispatchCall,
        request: ServiceRequest,
        signal: AbortSignal,
        onLate: (() => void) | undefined,
    ): Promise<ServiceAnswer | undefined> {
        const { clock, membership, forwarder, serviceRunner } = this.#options;
        if (host.id === membership.getSelf().id) {
            return getUnlessHostRefused(await serviceRunner.run(request, signal));
        }
        const waitMs = request.timeoutMs + ANSWER_GRACE_MS;
        const sent = { request, time: clock.getTime(), connectFailures: 0 };
        const controller = new AbortController();
        const attemptSignal = AbortSignal.any([signal, controller.signal]);
        const watch = call.isIdempotent && onLate !== undefined
            ? this.#watchHost(host, call, request, onLate)
            : undefined;
        try {
            const run = forwarder.runService(host.peerAddress, request, attemptSignal);
            const received = await runWithTimeout(clock, waitMs, run, () => {
                throw new PeerUnavailableError(`${host.id} did not answer.`, false);
            });
            this.#suspicion.recordAnswer(host.peerAddress);
            return getUnlessHostRefused(received);
        }
        catch (error) {
            if (call.isIdempotent) {
                controller.abort();
            }
            if (signal.aborted) {
                const detail = "The request was cancelled while a service host was processing it.";
                return createAnswer(createUnknown(UnknownReason.DeadlineExceeded, detail));
            }
            this.#suspicion.recordSilent(host.peerAddress);
            this.#recordHostFailure(host, request, "service-host-lost", error);
            const isNotSent = error instanceof PeerUnavailableError && error.isNotSent;
            return isNotSent ? undefined : createAnswer(await this.#findLostOutcome(host, call, sent));
        }
        finally {
            watch?.stop();
        }
    }

    /**
     * Whether a host may be sent a request. A host that has not answered recently is asked first: an order can't be sent twice, and
     * a lookup would wait until the host is found unresponsive and then spend a retry.
     */
    async #isReadyToServe(host: Member, call: DispatchCall): Promise<boolean> {
        const { membership, isLocalFallbackEnabled } = this.#options;
        if (isLocalFallbackEnabled !== true || host.id === membership.getSelf().id) {
            return true;
        }
        return await this.#checkServing(host, call) ?? false;
    }

    /** Checks whether a host accepts requests; undefined if it doesn't answer. */
    async #checkServing(host: Member, call: DispatchCall): Promise<boolean | undefined> {
        if (this.#suspicion.hasAnsweredWithin(host.peerAddress, RECENT_ANSWER_MS)) {
            return true;
        }
        const { transport } = this.#options;
        try {
            const result = await transport.send(host.peerAddress, PeerMethod.IsServing, {}, IS_SERVING_TIMEOUT_MS);
            this.#suspicion.recordAnswer(host.peerAddress);
            return result.isServing;
        }
        catch (error) {
            this.#suspicion.recordSilent(host.peerAddress);
            const { requestId } = call.request;
            this.#recordHostFailure(host, { requestId, service: call.service.name }, "service-host-silent", error);
            return undefined;
        }
    }

    #recordHostFailure(
        host: Member,
        { requestId, service }: Pick<ServiceRequest, "requestId" | "service">,
        reason: string,
        error?: unknown,
    ): void {
        this.#options.decisionLog.record({
            decision: Decision.DependencyChanged,
            reason,
            requestId,
            service,
            member: host.id,
            ...(error === undefined
                ? {}
                : { figures: { error: error instanceof Error ? error.message : String(error) } }),
        });
    }

    /** Watches a host that runs a lookup, so that another upstream can be tried as soon as the host seems lost. */
    #watchHost(host: Member, call: DispatchCall, request: ServiceRequest, onLate: () => void): HostWatch {
        const { clock, waitsUntilDeadline } = this.#options;
        return new HostWatch({
            clock,
            isLost: async () => this.#isUnreachable(host) || await this.#isUnresponsive(host, call),
            limitMs: waitsUntilDeadline === true ? undefined : request.timeoutMs * IDEMPOTENT_TIMEOUT_SHARE,
            onLate: () => {
                this.#suspicion.recordSilent(host.peerAddress);
                this.#recordHostFailure(host, request, "service-host-late");
                onLate();
            },
        });
    }

    async #isUnresponsive(host: Member, call: DispatchCall): Promise<boolean> {
        return this.#options.isLocalFallbackEnabled === true && await this.#checkServing(host, call) === undefined;
    }

    /** Polls the host for the outcome of an order. An order that the host has never seen did not run there and will not. */
    async #findLostOutcome(host: Member, call: DispatchCall, sent: SentRequest): Promise<Outcome> {
        const lost = createUnknown(UnknownReason.ConnectionLost, "The connection was lost after the request was sent.");
        if (call.isIdempotent) {
            return lost;
        }
        const { clock } = this.#options;
        const end = Math.max(call.deadline, clock.getTime()) + FIND_OUTCOME_LIMIT_MS;
        while (clock.getTime() < end && sent.connectFailures < MAX_CONNECT_FAILURES) {
            const result = await this.#findAt(host, sent);
            if (result !== undefined && result.state !== RequestState.Running) {
                return getFoundOutcome(result, lost);
            }
            await clock.wait(FIND_OUTCOME_INTERVAL_MS);
        }
        return lost;
    }

    async #findAt(host: Member, sent: SentRequest): Promise<FindOutcomeResult | undefined> {
        const { clock, transport } = this.#options;
        const maxAgeMs = clock.getTime() - sent.time + FIND_OUTCOME_TIMEOUT_MS;
        const params = { requestId: sent.request.requestId, maxAgeMs };
        try {
            return await transport.send(host.peerAddress, PeerMethod.FindOutcome, params, FIND_OUTCOME_TIMEOUT_MS);
        }
        catch (error) {
            const isNotSent = error instanceof PeerUnavailableError && error.isNotSent;
            sent.connectFailures = isNotSent ? sent.connectFailures + 1 : 0;
            return undefined;
        }
    }

    #getHosts(service: string, { zone, key }: DispatchAttempt["part"]): readonly Member[] {
        const { membership, isLocalFallbackEnabled } = this.#options;
        const hosts = membership.getServiceHosts(service, zone, key).slice(0, MAX_HOSTS_PER_PART);
        const unsuspected = hosts.filter(host => !this.#isSuspected(host));
        if (isLocalFallbackEnabled === true) {
            const self = membership.getSelf();
            return unsuspected.some(host => host.id === self.id) ? unsuspected : [...unsuspected, self];
        }
        return [...unsuspected, ...hosts.filter(host => this.#isSuspected(host))];
    }

    #isSuspected(host: Member): boolean {
        const { membership } = this.#options;
        return host.id !== membership.getSelf().id &&
            (this.#suspicion.isSuspected(host.peerAddress) || this.#isUnreachable(host));
    }

    /** Whether a host is reported unreachable, or this one isolated, and the host has not answered this one recently. */
    #isUnreachable(host: Member): boolean {
        const { membership } = this.#options;
        return (!membership.isReachable(host.id) || membership.isIsolated?.() === true) &&
            !this.#suspicion.hasAnsweredWithin(host.peerAddress, OWN_EVIDENCE_LIFETIME_MS);
    }

    #createRequest(call: DispatchCall, attempt: DispatchAttempt): ServiceRequest {
        const { method, path, headers, body } = call.request;
        const { number, part, sentBefore, isCounted, excludedUpstreams, hasRecentLoads, claimId, isLast } = attempt;
        const hostAddress = this.#options.membership.getSelf().peerAddress;
        const requestId = number === 1 ? call.request.requestId : `${call.request.requestId}.${number}`;
        const timeoutMs = Math.max(0, call.deadline - this.#options.clock.getTime());
        const { account, isIdempotent } = call;
        const service = call.service.name;
        const { targetMs } = call.request.route;
        const senderRemainingMs = this.#sent.getRemaining();
        const priority = call.request.account?.priority ?? call.request.route.priority;
        return {
            requestId,
            account,
            service,
            route: call.request.route.name,
            ...(priority === undefined ? {} : { priority }),
            zone: part.zone,
            ...(part.index === 0 ? {} : { part: part.index }),
            method,
            path,
            headers,
            body,
            isIdempotent,
            timeoutMs,
            ...(targetMs === undefined ? {} : { targetMs }),
            ...(senderRemainingMs === undefined ? {} : { senderRemainingMs }),
            ...(isIdempotent && !isLast ? { hasOtherAttempt: true, retryClaim: { hostAddress, id: claimId } } : {}),
            ...(hasRecentLoads ? { hasRecentLoads } : {}),
            ...(isCounted ? { isCounted } : {}),
            sentBefore,
            excludedUpstreams: [...excludedUpstreams],
        };
    }
}

function createAnswer(outcome: Outcome): ServiceAnswer {
    return { outcome, upstream: undefined, isCrashSuspected: false, freeSlots: 0, queued: 0 };
}
