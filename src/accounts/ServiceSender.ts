import { PeerUnavailableError } from "../errors/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { PeerMethod, PeerSuspicion } from "../peers/index.js";
import { RequestState } from "../services/index.js";
import type { FindOutcomeResult, ServiceAnswer, ServiceRequest } from "../services/index.js";
import { runWithTimeout } from "../time/index.js";
import type { DispatchAttempt } from "./DispatchAttempt.js";
import type { DispatchCall } from "./DispatchCall.js";
import type { DispatcherOptions } from "./DispatcherOptions.js";
import { getFoundOutcome } from "./getFoundOutcome.js";
import type { HostAnswer } from "./HostAnswer.js";

const MAX_HOSTS_PER_PART = 3;
const IDEMPOTENT_TIMEOUT_SHARE = 0.5;
const ANSWER_GRACE_MS = 1_000;
const FIND_OUTCOME_TIMEOUT_MS = 500;
const FIND_OUTCOME_INTERVAL_MS = 100;
/** How long after its deadline the outcome of an order is still asked for. */
const FIND_OUTCOME_LIMIT_MS = 60_000;
const MAX_CONNECT_FAILURES = 3;
/** A host that answered within this span is taken to answer still, in milliseconds. */
const RECENT_ANSWER_MS = 300;
/** A host that answered this one within this span is not taken for away on the word of others, in milliseconds. */
const OWN_EVIDENCE_LIFETIME_MS = 1_000;
/** How long a host of the same or the next zone may take to say whether it serves. */
const IS_SERVING_TIMEOUT_MS = 200;
/** How often it is checked, while a lookup runs on another host, whether that host is known not to answer. */
const REACHABILITY_CHECK_MS = 400;
const DEFAULT_RETRY_AFTER_MS = 1_000;
const HOST_REFUSAL_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.HostCutOff,
    RefusalReason.HostNotCurrent,
    RefusalReason.HostStopping,
]);

interface SentRequest {
    readonly request: ServiceRequest;
    /** When it was sent, in milliseconds of the clock. */
    readonly time: number;
    /** How many questions in a row found no process at the host. */
    connectFailures: number;
}

/** Sends attempts to the service hosts of a part of a service, here or on other entry hosts. */
export class ServiceSender {
    readonly #options: DispatcherOptions;
    readonly #suspicion: PeerSuspicion;

    /** @param options - What the sender works with. */
    constructor(options: DispatcherOptions) {
        this.#options = options;
        this.#suspicion = new PeerSuspicion(options.clock);
    }

    /**
     * Sends one attempt to the first service host of the part that takes it; never rejects.
     * @param call - The request.
     * @param attempt - The attempt.
     * @param signal - Aborts the attempt.
     */
    async send(call: DispatchCall, attempt: DispatchAttempt, signal: AbortSignal): Promise<HostAnswer> {
        for (const host of this.#getHosts(call.service.name, attempt.part)) {
            if (!await this.#isAnswering(host, call)) {
                continue;
            }
            const request = this.#createRequest(call, attempt);
            const answer = await this.#sendToHost(host, call, request, attempt.isLast, signal);
            if (answer !== undefined) {
                return { ...answer, host, attemptId: request.requestId };
            }
        }
        const detail = `No service host of zone ${attempt.part.zone} could be reached.`;
        const outcome = createNotRun(RefusalReason.HostUnreachable, detail, DEFAULT_RETRY_AFTER_MS);
        return { ...createAnswer(outcome), host: undefined };
    }

    /** Returns undefined if the host can't have sent the request on. */
    async #sendToHost(
        host: Member,
        call: DispatchCall,
        request: ServiceRequest,
        isLast: boolean,
        signal: AbortSignal,
    ): Promise<ServiceAnswer | undefined> {
        const { clock, membership, forwarder, serviceRunner } = this.#options;
        if (host.id === membership.getSelf().id) {
            return getUnlessHostRefused(await serviceRunner.run(request, signal));
        }
        const waitMs = call.isIdempotent && this.#options.waitsUntilDeadline !== true
            ? request.timeoutMs * IDEMPOTENT_TIMEOUT_SHARE
            : request.timeoutMs + ANSWER_GRACE_MS;
        const sent = { request, time: clock.getTime(), connectFailures: 0 };
        const controller = new AbortController();
        const attemptSignal = AbortSignal.any([signal, controller.signal]);
        try {
            const run = forwarder.runService(host.peerAddress, request, attemptSignal);
            const answer = runWithTimeout(clock, waitMs, run, () => {
                throw new PeerUnavailableError(`${host.id} did not answer.`, false);
            });
            const received =
                await (call.isIdempotent && !isLast ? this.#runWhileReachable(host, call, answer) : answer);
            this.#suspicion.recordAnswer(host.peerAddress);
            return getUnlessHostRefused(received);
        }
        catch (error) {
            if (call.isIdempotent) {
                controller.abort();
            }
            if (signal.aborted) {
                const detail = "The request was given up while a service host had it.";
                return createAnswer(createUnknown(UnknownReason.DeadlineExceeded, detail));
            }
            this.#suspicion.recordSilent(host.peerAddress);
            this.#recordHostFailure(host, request, "service-host-lost", error);
            const isNotSent = error instanceof PeerUnavailableError && error.isNotSent;
            return isNotSent ? undefined : createAnswer(await this.#findLostOutcome(host, call, sent));
        }
    }

    /**
     * A host that has not answered lately is asked whether it serves before it gets a request: an order can't be sent twice, and a
     * lookup would wait until the host is found silent and then spend a retry.
     */
    async #isAnswering(host: Member, call: DispatchCall): Promise<boolean> {
        const { membership, isLocalFallbackEnabled: isSelfSufficient } = this.#options;
        if (isSelfSufficient !== true || host.id === membership.getSelf().id) {
            return true;
        }
        return await this.#findServing(host, call) ?? false;
    }

    /** Finds whether a host takes requests; undefined if it doesn't answer. */
    async #findServing(host: Member, call: DispatchCall): Promise<boolean | undefined> {
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
        error: unknown,
    ): void {
        this.#options.decisionLog.record({
            decision: Decision.DependencyChanged,
            reason,
            requestId,
            service,
            member: host.id,
            figures: { error: error instanceof Error ? error.message : String(error) },
        });
    }

    /** Gives a host up as soon as it is known not to answer, so that a lookup can still go to another upstream. */
    async #runWhileReachable(host: Member, call: DispatchCall, answer: Promise<ServiceAnswer>): Promise<ServiceAnswer> {
        const { clock } = this.#options;
        return await new Promise((resolve, reject) => {
            let isEnded = false;
            const check = async (): Promise<void> => {
                const isLost = this.#isAway(host) || await this.#isSilent(host, call);
                if (isLost) {
                    reject(new PeerUnavailableError(`${host.id} is not reachable.`, false));
                }
                else if (!isEnded) {
                    timer = clock.schedule(REACHABILITY_CHECK_MS, () => void check());
                }
            };
            let timer = clock.schedule(REACHABILITY_CHECK_MS, () => void check());
            answer.then(resolve, reject).finally(() => {
                isEnded = true;
                timer.cancel();
            });
        });
    }

    async #isSilent(host: Member, call: DispatchCall): Promise<boolean> {
        return this.#options.isLocalFallbackEnabled === true && await this.#findServing(host, call) === undefined;
    }

    /** Asks the host what became of an order; one that it has never seen has not run there and will not. */
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
            const isRefused = error instanceof PeerUnavailableError && error.isNotSent;
            sent.connectFailures = isRefused ? sent.connectFailures + 1 : 0;
            return undefined;
        }
    }

    #getHosts(service: string, { zone, key }: DispatchAttempt["part"]): readonly Member[] {
        const { membership, isLocalFallbackEnabled: isSelfSufficient } = this.#options;
        const hosts = membership.getServiceHosts(service, zone, key).slice(0, MAX_HOSTS_PER_PART);
        const unsuspected = hosts.filter(host => !this.#isSuspected(host));
        if (isSelfSufficient === true) {
            const self = membership.getSelf();
            return unsuspected.some(host => host.id === self.id) ? unsuspected : [...unsuspected, self];
        }
        return [...unsuspected, ...hosts.filter(host => this.#isSuspected(host))];
    }

    #isSuspected(host: Member): boolean {
        const { membership } = this.#options;
        return host.id !== membership.getSelf().id &&
            (this.#suspicion.isSuspected(host.peerAddress) || this.#isAway(host));
    }

    /** Whether the watchers say that a host, or this one, is cut off, and nothing that this host has seen speaks against it. */
    #isAway(host: Member): boolean {
        const { membership } = this.#options;
        return (!membership.isReachable(host.id) || membership.isIsolated?.() === true) &&
            !this.#suspicion.hasAnsweredWithin(host.peerAddress, OWN_EVIDENCE_LIFETIME_MS);
    }

    #createRequest(call: DispatchCall, attempt: DispatchAttempt): ServiceRequest {
        const { method, path, headers, body } = call.request;
        const { number, part, sentBefore, excludedUpstreams } = attempt;
        const requestId = number === 1 ? call.request.requestId : `${call.request.requestId}.${number}`;
        const timeoutMs = Math.max(0, call.deadline - this.#options.clock.getTime());
        const { account, isIdempotent } = call;
        const service = call.service.name;
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
            sentBefore,
            excludedUpstreams: [...excludedUpstreams],
        };
    }
}

function createAnswer(outcome: Outcome): ServiceAnswer {
    return { outcome, upstream: undefined, isCrashSuspected: false, freeSlots: 0, queued: 0 };
}

function getUnlessHostRefused(answer: ServiceAnswer): ServiceAnswer | undefined {
    const { outcome } = answer;
    const isRefusedByHost = outcome.kind === OutcomeKind.NotRun && HOST_REFUSAL_REASONS.has(outcome.reason);
    return isRefusedByHost ? undefined : answer;
}
