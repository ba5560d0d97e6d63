import { Decision } from "../../logging/index.js";
import { closeBody, mergeOutcomes, OutcomeKind, UnknownReason } from "../../outcomes/index.js";
import type { Outcome } from "../../outcomes/index.js";
import type { ScheduledCall } from "../../time/index.js";
import { AttemptRace } from "../../utils/index.js";
import { isDefiniteStatus } from "../exchange/isDefiniteStatus.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { AttemptWatch } from "./AttemptWatch.js";
import type { HedgedRequestOptions } from "./HedgedRequestOptions.js";
import type { HedgedResult } from "./HedgedResult.js";

/** Interval at which a request asks for another upstream while none is free, in milliseconds. */
const CLAIM_INTERVAL_MS = 100;
/** Upstreams beside the first one to which a request may be sent here, whatever its sender grants. */
const MAX_OTHERS = 2;
/** The least time left for another attempt, in milliseconds: no upstream answers in less. */
const MIN_ATTEMPT_MS = 50;

/** The outcome of one attempt. */
interface SlotResult {
    readonly outcome: Outcome;
    readonly pooled: PooledUpstream;
}

/**
 * A request that is sent to another upstream as well when its answer is overdue (a hedged request), or when a second attempt has failed
 * while the first still runs. Earlier attempts continue: only an answer makes them superfluous. An order is sent once.
 */
export class HedgedRequest {
    readonly #options: HedgedRequestOptions;
    readonly #request: ServiceRequest;
    readonly #deadline: number;
    readonly #signal: AbortSignal;
    readonly #race = new AttemptRace<SlotResult>(isServed, mergeResults, ({ outcome }) => closeBody(outcome));
    readonly #upstreams: PooledUpstream[] = [];
    readonly #running = new Set<AttemptWatch>();
    readonly #lostAttempts: string[] = [];
    #timer: ScheduledCall | undefined;
    /** Whether the sender has granted another upstream that is not used yet. */
    #isGranted = false;
    #isAsking = false;

    /**
     * @param options - Dependencies.
     * @param request - The request.
     * @param deadline - The time by which the first byte is due, in milliseconds of the clock.
     * @param signal - Aborted when the caller disconnects.
     */
    constructor(options: HedgedRequestOptions, request: ServiceRequest, deadline: number, signal: AbortSignal) {
        this.#options = options;
        this.#request = request;
        this.#deadline = deadline;
        this.#signal = signal;
    }

    /**
     * Runs the request to its outcome; never rejects.
     * @param first - The upstream whose slot was claimed.
     */
    async run(first: PooledUpstream): Promise<HedgedResult> {
        this.#start(first, this.#request);
        const { outcome, pooled } = await this.#race.wait();
        this.#timer?.cancel();
        const others = this.#upstreams.filter(other => other !== pooled);
        return { outcome, pooled, others, lostAttempts: this.#lostAttempts };
    }

    #start(pooled: PooledUpstream, request: ServiceRequest): void {
        const { runner, findPatience } = this.#options;
        const watch = new AttemptWatch();
        this.#upstreams.push(pooled);
        this.#running.add(watch);
        const end = this.#race.add(async superseded => {
            const signal = AbortSignal.any([this.#signal, superseded]);
            const outcome = await runner.run(pooled, request, this.#deadline, signal, watch);
            this.#running.delete(watch);
            if (isLost(outcome)) {
                this.#lostAttempts.push(request.requestId);
            }
            return { outcome, pooled };
        });
        void end.then(() => this.#check());
        const patienceMs = this.#isOtherAllowed() ? findPatience(request, this.#deadline) : undefined;
        if (patienceMs !== undefined) {
            this.#schedule(patienceMs);
        }
    }

    #schedule(delayMs: number): void {
        this.#timer?.cancel();
        this.#timer = this.#options.clock.schedule(delayMs, () => void this.#check());
    }

    /** Starts another attempt if one is allowed and granted, no answer has begun, and a slot and a retry can be claimed. */
    async #check(): Promise<void> {
        if (this.#isAsking || !this.#isAttemptDue()) {
            return;
        }
        this.#isAsking = true;
        this.#isGranted ||= await this.#options.claimRetry(this.#request);
        this.#isAsking = false;
        if (!this.#isGranted || !this.#isAttemptDue()) {
            return;
        }
        const retry = this.#createRetry();
        const pooled = this.#options.claimSlot(retry);
        if (pooled === undefined) {
            this.#schedule(CLAIM_INTERVAL_MS);
            return;
        }
        this.#isGranted = false;
        this.#running.forEach(watch => watch.recordOverdue());
        this.#recordHedge(pooled);
        this.#start(pooled, retry);
    }

    #isAttemptDue(): boolean {
        const isAnswered = [...this.#running].some(watch => watch.isAnswered());
        return !this.#race.isDecided() && !this.#signal.aborted && !isAnswered && this.#isOtherAllowed() &&
            this.#getRemainingMs() >= MIN_ATTEMPT_MS;
    }

    /** Whether the request may be sent to one more upstream; a sender that isn't asked has allowed for one. */
    #isOtherAllowed(): boolean {
        const { isIdempotent, hasOtherAttempt, retryClaim } = this.#request;
        const maxOthers = retryClaim === undefined ? 1 : MAX_OTHERS;
        return isIdempotent && hasOtherAttempt === true && this.#upstreams.length <= maxOthers;
    }

    #getRemainingMs(): number {
        return this.#deadline - this.#options.clock.getTime();
    }

    #createRetry(): ServiceRequest {
        const { requestId, sentBefore, excludedUpstreams } = this.#request;
        const count = this.#upstreams.length;
        return {
            ...this.#request,
            requestId: `${requestId}.h${count + 1}`,
            timeoutMs: this.#getRemainingMs(),
            sentBefore: sentBefore + count,
            excludedUpstreams: [...excludedUpstreams, ...this.#upstreams.map(getName)],
        };
    }

    #recordHedge(pooled: PooledUpstream): void {
        const { requestId, account, service } = this.#request;
        this.#options.decisions.record({
            decision: Decision.Retried,
            reason: "overdue",
            requestId,
            account,
            service,
            upstream: getName(this.#upstreams[0]!),
            figures: { other: getName(pooled) },
        });
    }
}

function getName(pooled: PooledUpstream): string {
    return pooled.getUpstream().name;
}

function isServed({ outcome }: SlotResult): boolean {
    return outcome.kind === OutcomeKind.Done && isDefiniteStatus(outcome.status);
}

function isLost(outcome: Outcome): boolean {
    return outcome.kind === OutcomeKind.Unknown && outcome.reason === UnknownReason.ConnectionLost;
}

function mergeResults(earlier: SlotResult, later: SlotResult): SlotResult {
    return mergeOutcomes(earlier.outcome, later.outcome) === earlier.outcome ? earlier : later;
}
