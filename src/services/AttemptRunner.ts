import type { Upstream } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Clock, StallMeter } from "../time/index.js";
import type { AttemptRunnerOptions } from "./AttemptRunnerOptions.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** How long the answer to a request that is not idempotent is waited for after its deadline, to keep it, unless it is given. */
const DEFAULT_LATE_ANSWER_MS = 30_000;

/** When parts of an attempt are due, in milliseconds of the clock. */
interface AttemptTimes {
    /** The first byte of the answer. */
    readonly first: number;
    /** The whole answer; without a limit if undefined. */
    readonly whole: number | undefined;
    /** What the upstream is told. */
    readonly deadline: number;
}

/** Runs attempts at upstreams with a learned first-byte limit, and again on a new connection when one is silent. */
export class AttemptRunner {
    readonly #clock: Clock;
    readonly #transport: UpstreamTransport;
    readonly #decisions: DecisionLog;
    readonly #stallMeter: StallMeter | undefined;
    readonly #lateAnswerMs: number;
    readonly #endsByDeadline: boolean;

    /** @param options - What the runner works with. */
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
     * @param upstream - Where.
     * @param request - The request.
     * @param deadline - When the first byte is due, in milliseconds of the clock.
     * @param limit - The service's learned limit.
     * @param isRepeatAllowed - Spends from the service's retry budget before the request is sent again.
     * @param signal - Aborts an idempotent request; a request that is not idempotent runs on.
     */
    async run(
        upstream: Upstream,
        request: ServiceRequest,
        deadline: number,
        limit: FirstByteLimit,
        isRepeatAllowed: () => boolean,
        signal: AbortSignal,
    ): Promise<UpstreamAttempt> {
        if (!request.isIdempotent) {
            const isolated = new AbortController().signal;
            const end = deadline + this.#lateAnswerMs;
            return await this.#send(upstream, request, { first: end, whole: end, deadline }, true, isolated);
        }
        const isLimited = this.#clock.getTime() + limit.getLimit() < deadline;
        const limitTime = isLimited ? this.#clock.getTime() + limit.getLimit() : deadline;
        const attempt = await this.#send(upstream, request, this.#createTimes(limitTime, deadline), false, signal);
        if (attempt.answer.kind !== UpstreamAnswerKind.TimedOut || !isLimited || !isRepeatAllowed()) {
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
