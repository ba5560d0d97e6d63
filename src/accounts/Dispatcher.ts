import { RouteKind } from "../configuration/index.js";
import type { ServicePart } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import type { NotRunOutcome, Outcome } from "../outcomes/index.js";
import {
    closeBody,
    createNotRun,
    createUnknown,
    mergeOutcomes,
    OutcomeKind,
    RefusalReason,
    UnknownReason,
} from "../outcomes/index.js";
import { RetryBudget } from "../services/index.js";
import { AttemptRace } from "../utils/index.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { DispatchAttempt } from "./DispatchAttempt.js";
import type { DispatchCall } from "./DispatchCall.js";
import type { DispatcherOptions } from "./DispatcherOptions.js";
import type { HostAnswer } from "./HostAnswer.js";
import { isRetriable } from "./isRetriable.js";
import { PartSelector, RequestSlack } from "./placing/index.js";
import type { Quarantine } from "./Quarantine.js";
import { RetryClaims } from "./RetryClaims.js";
import { RunningAttempt } from "./RunningAttempt.js";
import { ServiceSender } from "./ServiceSender.js";

const MAX_ATTEMPTS = 4;
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Why the caller's host itself refuses a retry. */
const OWN_BUDGET_REASON = "own-retry-budget-spent";
/** The least time left for a retry, in milliseconds: no upstream answers in less. */
const MIN_RETRY_TIME_MS = 50;
/** Length from which a body counts as large, in bytes: several times the head of a forwarded request. */
const LARGE_BODY_BYTES = 16 * 1024;

/** Refusals that a later try can't change. */
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.RequestQuarantined,
    RefusalReason.NotSendable,
]);

interface DispatchState {
    /** Keys of the parts that refused the request or had no reachable service host. */
    readonly excludedParts: Set<string>;
    /** Keys of the parts of which one upstream refused the request; the others may still run it. */
    readonly shedParts: Set<string>;
    /** The upstreams that it was sent to, as far as their names are known. */
    readonly excludedUpstreams: string[];
    /** Number of upstreams that it was, or may have been, sent to, or may be by a running attempt. */
    sent: number;
    /** Whether a part has refused it for lack of room, and counted it towards its retry budget. */
    isCounted: boolean;
    /** Keys of the parts whose service host was lost while it had the request. */
    readonly lostHostParts: Set<string>;
    /** Whether an earlier attempt has run, or may have run or still run. */
    mayHaveRun: boolean;
}

/** The attempts of a request, and the task that starts them; undefined is the result of a task that has nothing to add. */
type OutcomeRace = AttemptRace<Outcome | undefined>;

/** Sends an admitted request to service hosts and retries it within the deadline and the retry budget. */
export class Dispatcher {
    readonly #options: DispatcherOptions;
    readonly #quarantine: Quarantine;
    readonly #sender: ServiceSender;
    readonly #claims: RetryClaims;
    readonly #parts: PartSelector;
    readonly #slacks: RequestSlack;
    readonly #budgets = new Map<string, RetryBudget>();

    /**
     * @param options - The dispatcher's dependencies.
     * @param quarantine - Refuses the requests that crash upstreams.
     */
    constructor(options: DispatcherOptions, quarantine: Quarantine) {
        this.#options = options;
        this.#quarantine = quarantine;
        this.#sender = new ServiceSender(options);
        this.#claims = new RetryClaims(options.handlers);
        const { clock, random } = options;
        this.#slacks = new RequestSlack(clock);
        this.#parts = new PartSelector({ clock, random, ownZone: options.membership.getSelf().zone });
    }

    /**
     * Has what can't be expected to end before this host aborts it refused, wherever it waits.
     * @param endTime - When requests in progress are aborted, in milliseconds of the clock.
     */
    leave(endTime: number): void {
        this.#sender.leave(endTime);
    }

    /**
     * Runs the request to its outcome; never rejects.
     * @param call - The request.
     * @param signal - Aborted when the answer is no longer needed.
     */
    async run(call: DispatchCall, signal: AbortSignal): Promise<Outcome> {
        const state: DispatchState = {
            excludedParts: new Set(),
            shedParts: new Set(),
            excludedUpstreams: [],
            sent: 0,
            isCounted: false,
            lostHostParts: new Set(),
            mayHaveRun: false,
        };
        this.#getBudget(call.service.name).grant(call.service.retryBudget, call.service.retryRate);
        const race: OutcomeRace = new AttemptRace(
            outcome => outcome?.kind === OutcomeKind.Done && !isRetriable(outcome, call.isIdempotent),
            mergeOutcomes,
            closeUnused,
        );
        void race.add(superseded =>
            this.#runAttempts(call, state, race, AbortSignal.any([signal, superseded]), signal)
        );
        const outcome = await race.wait() ?? createNoPart();
        return outcome.kind === OutcomeKind.NotRun ? addRetryAfter(outcome) : outcome;
    }

    /**
     * Starts one attempt after another as each ends or its service host is found late; returns the refusal to start one, if any.
     * @param ended - Aborted when no further attempt is needed.
     * @param left - Aborted when the caller has left, which ends the running attempts too.
     */
    async #runAttempts(
        call: DispatchCall,
        state: DispatchState,
        race: OutcomeRace,
        ended: AbortSignal,
        left: AbortSignal,
    ): Promise<Outcome | undefined> {
        for (let number = 1; number <= MAX_ATTEMPTS; number++) {
            const refusal = this.#checkCall(call);
            if (refusal !== undefined) {
                return refusal;
            }
            const part = this.#selectPart(call, state);
            if (part === undefined) {
                this.#recordRefusedRetry(call, state, number, "no-part");
                return undefined;
            }
            this.#parts.recordSent(call.service.name, part.key);
            const attempt = this.#startAttempt(call, state, race, { number, part, left });
            let result = await attempt.waitForReport();
            if (!this.#isRetryAllowed(call, state, number, result, ended)) {
                result = await attempt.waitForEnd();
                if (!this.#isRetryAllowed(call, state, number, result, ended)) {
                    return undefined;
                }
            }
            this.#recordRetry(call, result.outcome, number);
        }
        return undefined;
    }

    #checkCall(call: DispatchCall): NotRunOutcome | undefined {
        if (this.#quarantine.isQuarantined(call.fingerprint)) {
            const detail = "This request has crashed upstreams; don't repeat it.";
            return createNotRun(RefusalReason.RequestQuarantined, detail);
        }
        if (this.#options.clock.getTime() >= call.deadline) {
            const detail = "The deadline has passed.";
            return createNotRun(RefusalReason.DeadlineExceeded, detail, DEFAULT_RETRY_AFTER_MS);
        }
        return undefined;
    }

    #startAttempt(
        call: DispatchCall,
        state: DispatchState,
        race: OutcomeRace,
        { number, part, left }: { readonly number: number; readonly part: ServicePart; readonly left: AbortSignal; },
    ): RunningAttempt {
        const sentBefore = state.sent++;
        let claimed = 0;
        const claimId = this.#claims.add(() => {
            const isGranted = state.sent < getMaxUpstreams(call);
            if (isGranted) {
                state.sent++;
                claimed++;
            }
            return isGranted;
        });
        const attempt = {
            number,
            part,
            sentBefore,
            isCounted: state.isCounted,
            excludedUpstreams: [...state.excludedUpstreams],
            hasRecentLoads: this.#parts.hasRecentLoads(call.service.name),
            claimId,
            isLast: number === MAX_ATTEMPTS || state.sent >= getMaxUpstreams(call),
        };
        const running = new RunningAttempt();
        void race.add(async superseded => {
            const signal = AbortSignal.any([left, superseded]);
            const result = await this.#runAttempt(call, state, attempt, signal, late => running.recordLate(late));
            this.#claims.remove(claimId);
            state.sent -= claimed;
            running.recordEnd(result);
            return result.outcome;
        });
        return running;
    }

    /** Runs one attempt to its end, also after its service host was found late. */
    async #runAttempt(
        call: DispatchCall,
        state: DispatchState,
        attempt: DispatchAttempt & { readonly part: ServicePart; },
        signal: AbortSignal,
        onLate: (result: AttemptResult) => void,
    ): Promise<AttemptResult> {
        const { number, part } = attempt;
        const answer = await this.#sender.send(call, attempt, signal, () => {
            state.mayHaveRun = true;
            state.lostHostParts.add(part.key);
            onLate({ outcome: createLate(), isSent: true });
        });
        if (answer.outcome.kind === OutcomeKind.NotRun) {
            const { reason, detail } = answer.outcome;
            this.#recordRefusedRetry(call, state, number, reason, { member: answer.host?.id, detail });
        }
        const isSent = isPossiblySent(answer);
        const otherUpstreams = answer.otherUpstreams ?? [];
        state.sent += otherUpstreams.length - (isSent ? 0 : 1);
        state.excludedUpstreams.push(...otherUpstreams);
        await this.#recordAnswer(call, part, answer, state);
        return { outcome: answer.outcome, isSent };
    }

    /**
     * Selects the next part, preferably one whose service host was not lost with this request. A lost service host fails many
     * requests at once, too many for the retry budget of its zone.
     */
    #selectPart(
        call: DispatchCall,
        { excludedParts, shedParts, lostHostParts }: DispatchState,
    ): ServicePart | undefined {
        const options = {
            slackMs: this.#slacks.getSlack(call),
            isLarge: call.request.route.kind === RouteKind.Bulk || call.request.body.length >= LARGE_BODY_BYTES,
            // A part that refuses has no room now, and its neighbours in the zone rarely have.
            isAnyZoneAllowed: lostHostParts.size > 0 || excludedParts.size > 0,
        };
        const select = (...excluded: ReadonlySet<string>[]): ServicePart | undefined =>
            this.#parts.select(call.service, new Set(excluded.flatMap(keys => [...keys])), options);
        return select(excludedParts, shedParts, lostHostParts) ?? select(excludedParts, shedParts) ??
            select(excludedParts);
    }

    async #recordAnswer(
        call: DispatchCall,
        part: ServicePart,
        answer: HostAnswer,
        state: DispatchState,
    ): Promise<void> {
        const { outcome, upstream, notices } = answer;
        if (notices !== undefined) {
            this.#options.notices?.recordReports(notices);
        }
        if (upstream !== undefined) {
            state.excludedUpstreams.push(upstream);
        }
        if (outcome.kind === OutcomeKind.NotRun) {
            state.isCounted ||= outcome.reason === RefusalReason.Overloaded;
            const parts = upstream === undefined ? state.excludedParts : state.shedParts;
            parts.add(part.key);
        }
        else {
            state.mayHaveRun = true;
        }
        if (outcome.kind === OutcomeKind.Unknown && upstream === undefined) {
            state.lostHostParts.add(part.key);
        }
        if (upstream !== undefined || outcome.kind === OutcomeKind.Done || isOutOfSlots(outcome)) {
            this.#recordLoads(call, part, answer);
        }
        if (answer.isCrashSuspected && answer.host !== undefined) {
            for (const attemptId of answer.lostAttempts ?? [answer.attemptId ?? ""]) {
                const event = { attemptId, hostAddress: answer.host.peerAddress };
                await this.#quarantine.recordCrash(call.account, call.fingerprint, event);
            }
        }
        else if (outcome.kind === OutcomeKind.Done) {
            this.#quarantine.recordSuccess(call.fingerprint);
        }
    }

    #recordLoads(call: DispatchCall, part: ServicePart, answer: HostAnswer): void {
        const { freeSlots, queued, capacity, usualMs, otherLoads = [] } = answer;
        const load = { part: part.key, freeSlots, queued, ageMs: 0, ...(capacity === undefined ? {} : { capacity }) };
        this.#parts.recordLoad(call.service.name, load);
        if (otherLoads.length > 0) {
            this.#parts.recordLoads(call.service.name);
        }
        otherLoads.forEach(report => this.#parts.recordLoad(call.service.name, report));
        if (usualMs !== undefined) {
            this.#slacks.recordUsual(call, usualMs);
        }
    }

    /** Charges the retry budget unless the request was refused before it reached an upstream, as that puts no load on the service. */
    #isRetryAllowed(
        call: DispatchCall,
        state: DispatchState,
        number: number,
        { outcome, isSent }: AttemptResult,
        ended: AbortSignal,
    ): boolean {
        const remainingMs = call.deadline - this.#options.clock.getTime();
        if (
            ended.aborted || state.sent >= getMaxUpstreams(call) || remainingMs < MIN_RETRY_TIME_MS ||
            !isRetriable(outcome, call.isIdempotent)
        ) {
            return false;
        }
        const isFree = outcome.kind === OutcomeKind.NotRun && !isSent;
        const priority = call.request.account?.priority ?? call.request.route.priority;
        const isAllowed = isFree || this.#getBudget(call.service.name).spend(priority);
        if (!isAllowed) {
            this.#recordRefusedRetry(call, state, number + 1, OWN_BUDGET_REASON);
        }
        return isAllowed;
    }

    #getBudget(service: string): RetryBudget {
        const budget = this.#budgets.get(service) ?? new RetryBudget(this.#options.clock);
        this.#budgets.set(service, budget);
        return budget;
    }

    /** Tells why nothing came of a retry; the service host that refuses it need not have a line on it. */
    #recordRefusedRetry(
        call: DispatchCall,
        { mayHaveRun }: DispatchState,
        attempt: number,
        reason: string,
        { member, detail }: { readonly member?: string | undefined; readonly detail?: string; } = {},
    ): void {
        if (attempt === 1 || !mayHaveRun) {
            return;
        }
        this.#options.decisionLog.record({
            decision: Decision.RetryRefused,
            reason,
            requestId: call.request.requestId,
            account: call.account,
            service: call.service.name,
            ...(member === undefined ? {} : { member }),
            ...(detail === undefined ? {} : { detail }),
            figures: { attempt, remainingMs: Math.round(call.deadline - this.#options.clock.getTime()) },
        });
    }

    #recordRetry(call: DispatchCall, outcome: Outcome, attempt: number): void {
        this.#options.decisionLog.record({
            decision: Decision.Retried,
            reason: outcome.kind === OutcomeKind.Done ? `status-${outcome.status}` : outcome.reason,
            requestId: call.request.requestId,
            account: call.account,
            service: call.service.name,
            figures: { attempt, ...(outcome.kind === OutcomeKind.Done ? {} : { detail: outcome.detail }) },
        });
    }
}

/** Gets how many upstreams a request may be sent to. */
function getMaxUpstreams(call: DispatchCall): number {
    return call.request.route.maxAttempts ?? MAX_ATTEMPTS;
}

/** Treats an attempt without a named upstream as sent unless it was refused: an abandoned service host may have sent it on. */
function isPossiblySent({ outcome, upstream }: HostAnswer): boolean {
    return upstream !== undefined || outcome.kind !== OutcomeKind.NotRun;
}

/** Whether a service host refused the request for lack of free slots; the load in such an answer is that of its part. */
function isOutOfSlots(outcome: Outcome): boolean {
    return outcome.kind === OutcomeKind.NotRun &&
        (outcome.reason === RefusalReason.Overloaded || outcome.reason === RefusalReason.NoUpstream);
}

function createNoPart(): NotRunOutcome {
    return createNotRun(
        RefusalReason.NoUpstream,
        "No upstream of this service accepts requests.",
        DEFAULT_RETRY_AFTER_MS,
    );
}

function createLate(): Outcome {
    return createUnknown(UnknownReason.ConnectionLost, "The service host does not answer.");
}

function addRetryAfter(outcome: NotRunOutcome): NotRunOutcome {
    const isFinal = FINAL_REASONS.has(outcome.reason);
    const retryAfterMs = isFinal ? undefined : outcome.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    return { ...outcome, retryAfterMs };
}

function closeUnused(outcome: Outcome | undefined): void {
    if (outcome !== undefined) {
        closeBody(outcome);
    }
}
