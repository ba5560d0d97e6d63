import { finished } from "node:stream";
import { SupersededError } from "../../errors/index.js";
import { Decision } from "../../logging/index.js";
import type { Outcome } from "../../outcomes/index.js";
import { createUnknown, OutcomeKind, UnknownReason } from "../../outcomes/index.js";
import { AttemptRunner } from "../exchange/AttemptRunner.js";
import { createCapturedBody } from "../exchange/createCapturedBody.js";
import { createOutcome } from "../exchange/createOutcome.js";
import { readBodyAhead } from "../exchange/readBodyAhead.js";
import { UpstreamAnswerKind } from "../exchange/UpstreamAnswerKind.js";
import type { UpstreamAttempt } from "../exchange/UpstreamAttempt.js";
import { encodeOutcome } from "../outcomes/encodeOutcome.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamState } from "../pools/UpstreamState.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { AttemptWatch } from "./AttemptWatch.js";
import type { SlotRunnerOptions } from "./SlotRunnerOptions.js";

const MAX_CAPTURED_BODY_BYTES = 64 * 1024;
/** Responses to idempotent requests are buffered up to this size, so that a truncated one can be retried. */
const READ_AHEAD_BYTES = 256 * 1024;
/** Results of an attempt without an answer, which say no more about its upstream than that the answer was overdue. */
const UNANSWERED_KINDS: ReadonlySet<UpstreamAnswerKind> = new Set([
    UpstreamAnswerKind.TimedOut,
    UpstreamAnswerKind.Aborted,
    UpstreamAnswerKind.Superseded,
]);

/** Runs requests in claimed slots and records the results for upstream health. */
export class SlotRunner {
    readonly #options: SlotRunnerOptions;
    readonly #runner: AttemptRunner;

    /** @param options - Dependencies and settings of the runner. */
    constructor(options: SlotRunnerOptions) {
        this.#options = options;
        this.#runner = new AttemptRunner(options);
    }

    /**
     * Runs a request to its outcome; never rejects. A request that is not idempotent continues after its deadline and uses its slot
     * until it ends.
     * @param pooled - The upstream whose slot was claimed.
     * @param request - The request.
     * @param deadline - The time by which the first byte is due, in milliseconds of the clock.
     * @param signal - Aborted when the caller disconnects, or the answer of another attempt is used.
     * @param watch - Learns of the answer's head, and tells when it is overdue, which counts against the upstream while the attempt
     * continues.
     */
    async run(
        pooled: PooledUpstream,
        request: ServiceRequest,
        deadline: number,
        signal: AbortSignal,
        watch = new AttemptWatch(),
    ): Promise<Outcome> {
        const { clock } = this.#options;
        const deadlinePassed = new AbortController();
        if (request.isIdempotent) {
            return await this.#runAttempt(pooled, request, deadline, signal, deadlinePassed.signal, watch);
        }
        const start = clock.getTime();
        const stalledBefore = this.#getStalledTime();
        return await new Promise(resolve => {
            const timer = clock.schedule(Math.max(0, deadline - start), () => {
                deadlinePassed.abort();
                const stalledMs = this.#getStalledTime() - stalledBefore;
                this.#options.recorder.recordTimeout(pooled, request, clock.getTime() - start - stalledMs);
                resolve(createOutcome({ kind: UpstreamAnswerKind.TimedOut }));
            });
            const readerSignal = AbortSignal.any([signal, deadlinePassed.signal]);
            const run = this.#runAttempt(pooled, request, deadline, readerSignal, deadlinePassed.signal, watch);
            void run.then(outcome => {
                timer.cancel();
                resolve(outcome);
            });
        });
    }

    #getStalledTime(): number {
        return this.#options.stallMeter?.getStalledTime() ?? 0;
    }

    async #runAttempt(
        pooled: PooledUpstream,
        request: ServiceRequest,
        deadline: number,
        signal: AbortSignal,
        deadlinePassed: AbortSignal,
        watch: AttemptWatch,
    ): Promise<Outcome> {
        const start = this.#options.clock.getTime();
        let isOverdueRecorded = false;
        const recordOverdue = (waitedMs: number): void => {
            if (!isOverdueRecorded) {
                isOverdueRecorded = true;
                this.#options.recorder.recordTimeout(pooled, request, waitedMs);
            }
        };
        watch.addOverdueListener(() => recordOverdue(this.#options.clock.getTime() - start));
        const expectedMs = this.#options.getSlotTime(request);
        const attempt = await this.#runner.run(
            pooled.getUpstream(),
            request,
            deadline,
            this.#options.limit,
            () => this.#spendRetry(pooled),
            signal,
            recordOverdue,
        ).then(result => getSuperseded(result, signal));
        const release = (): void => {
            const usedMs = this.#options.clock.getTime() - start;
            this.#options.onRelease(pooled, request, { expectedMs, usedMs });
        };
        this.#options.recorder.recordNotice(pooled, attempt);
        const isRecorded = isOverdueRecorded && UNANSWERED_KINDS.has(attempt.answer.kind);
        if (!deadlinePassed.aborted && !isRecorded) {
            this.#options.recorder.recordHead(pooled, request, attempt);
        }
        this.#recordDispatched(pooled, request, attempt);
        if (attempt.answer.kind !== UpstreamAnswerKind.Answered) {
            const outcome = createOutcome(attempt.answer);
            this.#recordEnd(request, pooled, outcome, undefined);
            release();
            return outcome;
        }
        watch.recordAnswer();
        const outcome = this.#createDone(pooled, request, attempt, signal, release);
        return request.isIdempotent ? await readBodyAhead(outcome, READ_AHEAD_BYTES, signal) : outcome;
    }

    /** A retry at the same upstream counts towards its rate limit too, and none goes to one that leaves or wants no requests now. */
    #spendRetry(pooled: PooledUpstream): boolean {
        return pooled.getState() !== UpstreamState.Draining && pooled.getPauseMs() === 0 &&
            this.#options.budget.spend() && pooled.rateLimiter.spend();
    }

    #createDone(
        pooled: PooledUpstream,
        request: ServiceRequest,
        attempt: UpstreamAttempt,
        signal: AbortSignal,
        release: () => void,
    ): Outcome {
        const outcome = createOutcome(attempt.answer);
        if (outcome.kind !== OutcomeKind.Done) {
            return outcome;
        }
        finished(outcome.body, error => {
            this.#options.recorder.recordBodyEnd(pooled, request, attempt, error ?? undefined);
            release();
        });
        if (request.isIdempotent) {
            return outcome;
        }
        const recordEnd = (body: Buffer | undefined, error: Error | undefined): void => {
            const end = error === undefined
                ? outcome
                : createUnknown(UnknownReason.ConnectionLost, "The upstream's answer was cut.");
            this.#recordEnd(request, pooled, end, body);
        };
        return {
            ...outcome,
            body: createCapturedBody(outcome.body, { maxBytes: MAX_CAPTURED_BODY_BYTES, signal, onEnd: recordEnd }),
        };
    }

    #recordEnd(request: ServiceRequest, pooled: PooledUpstream, outcome: Outcome, body: Buffer | undefined): void {
        if (!request.isIdempotent) {
            const { name } = pooled.getUpstream();
            this.#options.outcomes.recordEnd(request.requestId, encodeOutcome(outcome, body), name);
        }
    }

    #recordDispatched(pooled: PooledUpstream, request: ServiceRequest, attempt: UpstreamAttempt): void {
        const { answer, latencyMs } = attempt;
        const { requestId, account, service } = request;
        this.#options.decisions.record({
            decision: Decision.Dispatched,
            reason: answer.kind === UpstreamAnswerKind.Answered ? `status ${answer.status}` : answer.kind,
            requestId,
            account,
            service,
            upstream: pooled.getUpstream().name,
            figures: { ms: Math.round(latencyMs), running: pooled.getRunning(), state: pooled.getState() },
        });
    }
}

/** Tells an attempt that another one has made superfluous from one whose caller has left. */
function getSuperseded(attempt: UpstreamAttempt, signal: AbortSignal): UpstreamAttempt {
    return attempt.answer.kind === UpstreamAnswerKind.Aborted && signal.reason instanceof SupersededError
        ? { ...attempt, answer: { kind: UpstreamAnswerKind.Superseded } }
        : attempt;
}
