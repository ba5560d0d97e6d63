import type { Upstream } from "../../configuration/index.js";
import { Decision } from "../../logging/index.js";
import type { DecisionLog } from "../../logging/index.js";
import type { Clock, StallMeter } from "../../time/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { AttemptPatience } from "./AttemptPatience.js";
import type { AttemptRunnerOptions } from "./AttemptRunnerOptions.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** Default time after the deadline in which the response to a request that is not idempotent is still received and stored. */
const DEFAULT_LATE_ANSWER_MS = 30_000;

/** Time after which an overdue attempt is checked again if no other upstream could take the request, in milliseconds. */
const OVERDUE_CHECK_MS = 100;

/** Time limits of an attempt, in milliseconds of the clock. */
interface AttemptTimes {
    /** When the first byte of the response is due. */
    readonly first: number;
    /** When the whole response is due; no limit if undefined. */
    readonly whole: number | undefined;
    /** The deadline that is sent to the upstream. */
    readonly deadline: number;
}

/** Sends requests to upstreams; an idempotent one is retried once on a new connection after a learned first-byte limit. */
export class AttemptRunner {
    readonly #clock: Clock;
    readonly #transport: UpstreamTransport;
    readonly #decisions: DecisionLog;
    readonly #stallMeter: StallMeter | undefined;
    readonly #lateAnswerMs: number;
    readonly #endsByDeadline: boolean;

    /** @param options - Dependencies and settings of the runner. */
    constructor({ clock, transport, decisions, stallMeter, lateAnswerMs, endsByDeadline }: AttemptRunnerOptions) {
        this.#clock = clock;
        this.#transport = transport;
        this.#decisions = decisions;
        this.#stallMeter = stallMeter;
        this.#lateAnswerMs = lateAnswerMs ?? DEFAULT_LATE_ANSWER_MS;
        this.#endsByDeadline = endsByDeadline ?? false;
    }

    /**
     * Runs one attempt.
     * @param upstream - The upstream to send to.
     * @param request - The request.
     * @param deadline - The time by which the first byte is due, in milliseconds of the clock.
     * @param limit - The first-byte limit learned for the service.
     * @param spendRetry - Spends a retry from the service's budget; returns false if none is left.
     * @param signal - Aborts an idempotent request; a request that is not idempotent continues.
     * @param patience - When an idempotent request makes way for an attempt at another upstream; at its deadline if undefined.
     */
    async run(
        upstream: Upstream,
        request: ServiceRequest,
        deadline: number,
        limit: FirstByteLimit,
        spendRetry: () => boolean,
        signal: AbortSignal,
        patience?: AttemptPatience,
    ): Promise<UpstreamAttempt> {
        if (!request.isIdempotent) {
            const neverAborted = new AbortController().signal;
            const end = deadline + this.#lateAnswerMs;
            return await this.#send(upstream, request, { first: end, whole: end, deadline }, true, neverAborted);
        }
        if (patience !== undefined) {
            return await this.#runWithPatience(
                patience,
                signal,
                combined => this.run(upstream, request, deadline, limit, spendRetry, combined),
            );
        }
        const isLimited = this.#clock.getTime() + limit.getLimit() < deadline;
        const limitTime = isLimited ? this.#clock.getTime() + limit.getLimit() : deadline;
        const attempt = await this.#send(upstream, request, this.#createTimes(limitTime, deadline), false, signal);
        if (attempt.answer.kind !== UpstreamAnswerKind.TimedOut || !isLimited || !spendRetry()) {
            return attempt;
        }
        limit.record(attempt.latencyMs);
        return await this.#retry(
            upstream,
            request,
            this.#createTimes(Math.min(deadline, this.#clock.getTime() + limit.getLimit()), deadline),
            signal,
        );
    }

    async #runWithPatience(
        { timeoutMs, hasRetry }: AttemptPatience,
        signal: AbortSignal,
        run: (signal: AbortSignal) => Promise<UpstreamAttempt>,
    ): Promise<UpstreamAttempt> {
        const overdue = new AbortController();
        const check = (): void => {
            if (hasRetry()) {
                overdue.abort(new Error("overdue"));
                return;
            }
            timer = this.#clock.schedule(OVERDUE_CHECK_MS, check);
        };
        let timer = this.#clock.schedule(timeoutMs, check);
        const attempt = await run(AbortSignal.any([signal, overdue.signal]));
        timer.cancel();
        const isOverdue = attempt.answer.kind === UpstreamAnswerKind.Aborted && !signal.aborted;
        return isOverdue ? { ...attempt, answer: { kind: UpstreamAnswerKind.Overdue } } : attempt;
    }

    async #retry(
        upstream: Upstream,
        request: ServiceRequest,
        times: AttemptTimes,
        signal: AbortSignal,
    ): Promise<UpstreamAttempt> {
        this.#transport.closeIdle(upstream);
        this.#decisions.record({
            decision: Decision.Retried,
            reason: "silent-connection",
            requestId: request.requestId,
            account: request.account,
            service: request.service,
            upstream: upstream.name,
        });
        return await this.#send(upstream, request, times, true, signal);
    }

    #createTimes(first: number, deadline: number): AttemptTimes {
        return { first, whole: this.#endsByDeadline ? deadline : undefined, deadline: first };
    }

    async #send(
        upstream: Upstream,
        request: ServiceRequest,
        { first, whole, deadline }: AttemptTimes,
        freshConnection: boolean,
        signal: AbortSignal,
    ): Promise<UpstreamAttempt> {
        const start = this.#clock.getTime();
        const stalledBefore = this.#getStalledTime();
        const answer = await this.#transport.send(upstream, request, {
            firstByteTimeoutMs: Math.max(0, first - start),
            answerTimeoutMs: whole === undefined ? undefined : Math.max(0, whole - start),
            deadlineMs: Math.max(0, deadline - start),
            freshConnection,
            signal,
        });
        const stalledMs = this.#getStalledTime() - stalledBefore;
        return { answer, latencyMs: Math.max(0, this.#clock.getTime() - start - stalledMs) };
    }

    #getStalledTime(): number {
        return this.#stallMeter?.getStalledTime() ?? 0;
    }
}
