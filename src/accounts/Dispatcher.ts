import { RouteKind } from "../configuration/index.js";
import type { ServicePart } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import type { NotRunOutcome, Outcome, UnknownOutcome } from "../outcomes/index.js";
import { closeBody, createNotRun, OutcomeKind, RefusalReason } from "../outcomes/index.js";
import { RetryBudget } from "../services/index.js";
import type { DispatchCall } from "./DispatchCall.js";
import type { DispatcherOptions } from "./DispatcherOptions.js";
import type { HostAnswer } from "./HostAnswer.js";
import { isRetriable } from "./isRetriable.js";
import { PartSelector, RequestSlack } from "./placing/index.js";
import type { Quarantine } from "./Quarantine.js";
import { ServiceSender } from "./ServiceSender.js";

const MAX_ATTEMPTS = 4;
const DEFAULT_RETRY_AFTER_MS = 1_000;
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
    /** Number of upstreams that it was, or may have been, sent to. */
    sent: number;
    /** Whether a part has refused it for lack of room, and counted it towards its retry budget. */
    isCounted: boolean;
    /** Keys of the parts whose service host was lost while it had the request. */
    readonly lostHostParts: Set<string>;
    /** The answer or unknown outcome of an earlier attempt. If it is set, the request must not be reported as not run. */
    earlierOutcome: Exclude<Outcome, NotRunOutcome> | undefined;
}

interface AttemptResult {
    readonly outcome: Outcome;
    /** Whether the request was, or may have been, sent to an upstream. */
    readonly isSent: boolean;
}

/** Sends an admitted request to service hosts and retries it within the deadline and the retry budget. */
export class Dispatcher {
    readonly #options: DispatcherOptions;
    readonly #quarantine: Quarantine;
    readonly #sender: ServiceSender;
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
            earlierOutcome: undefined,
        };
        this.#getBudget(call.service.name).grant(call.service.retryBudget, call.service.retryRate);
        let outcome = this.#createNoPart();
        for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            const next = await this.#runAttempt(call, state, attempt, signal);
            if (next === undefined) {
                break;
            }
            outcome = next.outcome;
            if (state.sent >= getMaxUpstreams(call) || !this.#isRetryAllowed(call, next, signal)) {
                break;
            }
            this.#recordRetry(call, outcome, attempt);
        }
        return mergeOutcomes(outcome, state.earlierOutcome);
    }

    async #runAttempt(
        call: DispatchCall,
        state: DispatchState,
        attempt: number,
        signal: AbortSignal,
    ): Promise<AttemptResult | undefined> {
        if (this.#quarantine.isQuarantined(call.fingerprint)) {
            const detail = "This request has crashed upstreams; don't repeat it.";
            return { outcome: createNotRun(RefusalReason.RequestQuarantined, detail), isSent: false };
        }
        if (this.#options.clock.getTime() >= call.deadline) {
            const detail = "The deadline has passed.";
            const refusal = createNotRun(RefusalReason.DeadlineExceeded, detail, DEFAULT_RETRY_AFTER_MS);
            return { outcome: refusal, isSent: false };
        }
        const part = this.#selectPart(call, state);
        if (part === undefined) {
            return undefined;
        }
        this.#parts.recordSent(call.service.name, part.key);
        const answer = await this.#sender.send(call, {
            number: attempt,
            part,
            sentBefore: state.sent,
            isCounted: state.isCounted,
            excludedUpstreams: state.excludedUpstreams,
            hasRecentLoads: this.#parts.hasRecentLoads(call.service.name),
            isLast: attempt === MAX_ATTEMPTS || state.sent + 1 >= getMaxUpstreams(call),
        }, signal);
        const isSent = isPossiblySent(answer);
        state.sent += isSent ? 1 : 0;
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
            closeEarlierOutcome(state.earlierOutcome);
            state.earlierOutcome = outcome;
        }
        if (outcome.kind === OutcomeKind.Unknown && upstream === undefined) {
            state.lostHostParts.add(part.key);
        }
        if (upstream !== undefined || outcome.kind === OutcomeKind.Done || isOutOfSlots(outcome)) {
            this.#recordLoads(call, part, answer);
        }
        if (answer.isCrashSuspected && answer.host !== undefined) {
            const event = { attemptId: answer.attemptId ?? "", hostAddress: answer.host.peerAddress };
            await this.#quarantine.recordCrash(call.account, call.fingerprint, event);
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
    #isRetryAllowed(call: DispatchCall, { outcome, isSent }: AttemptResult, signal: AbortSignal): boolean {
        const remainingMs = call.deadline - this.#options.clock.getTime();
        if (signal.aborted || remainingMs < MIN_RETRY_TIME_MS || !isRetriable(outcome, call.isIdempotent)) {
            return false;
        }
        const isFree = outcome.kind === OutcomeKind.NotRun && !isSent;
        const priority = call.request.account?.priority ?? call.request.route.priority;
        return isFree || this.#getBudget(call.service.name).spend(priority);
    }

    #getBudget(service: string): RetryBudget {
        const budget = this.#budgets.get(service) ?? new RetryBudget(this.#options.clock);
        this.#budgets.set(service, budget);
        return budget;
    }

    #createNoPart(): Outcome {
        return createNotRun(
            RefusalReason.NoUpstream,
            "No upstream of this service accepts requests.",
            DEFAULT_RETRY_AFTER_MS,
        );
    }

    #recordRetry(call: DispatchCall, outcome: Outcome, attempt: number): void {
        this.#options.decisionLog.record({
            decision: Decision.Retried,
            reason: outcome.kind === OutcomeKind.Done ? `status-${outcome.status}` : outcome.reason,
            requestId: call.request.requestId,
            account: call.account,
            service: call.service.name,
            figures: { attempt },
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

/** Gets the last attempt's outcome, or an earlier one that may have run if the last attempt was refused. */
function mergeOutcomes(last: Outcome, earlierOutcome: Exclude<Outcome, NotRunOutcome> | undefined): Outcome {
    if (last.kind === OutcomeKind.NotRun) {
        return earlierOutcome ?? addRetryAfter(last);
    }
    return last;
}

function addRetryAfter(outcome: NotRunOutcome): NotRunOutcome {
    const isFinal = FINAL_REASONS.has(outcome.reason);
    const retryAfterMs = isFinal ? undefined : outcome.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    return { ...outcome, retryAfterMs };
}

function closeEarlierOutcome(earlierOutcome: Outcome | UnknownOutcome | undefined): void {
    if (earlierOutcome !== undefined) {
        closeBody(earlierOutcome);
    }
}
