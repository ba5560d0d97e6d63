import type { Upstream } from "../../configuration/index.js";
import { Decision } from "../../logging/index.js";
import type { DecisionLog } from "../../logging/index.js";
import type { Clock, ScheduledCall, StallMeter } from "../../time/index.js";
import { AttemptRace } from "../../utils/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { AttemptRunnerOptions } from "./AttemptRunnerOptions.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import { isDefiniteStatus } from "./isDefiniteStatus.js";
import { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** Results that prove that the request did not run. */
const NOT_RUN_KINDS: ReadonlySet<UpstreamAnswerKind> = new Set([
    UpstreamAnswerKind.ConnectFailed,
    UpstreamAnswerKind.NotSendable,
    UpstreamAnswerKind.Shed,
]);

/** Default time after the deadline in which the response to a request that is not idempotent is still received and stored. */
const DEFAULT_LATE_ANSWER_MS = 30_000;

/**
 * Sends requests to upstreams. An idempotent one without an answer within a learned first-byte limit is sent once more on a new
 * connection, beside the first, as only that connection may be silent.
 */
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
     * @param onOverdue - Called with the time waited, in milliseconds, when the upstream has not answered on a new connection either, or
     * no retry is left; the attempt continues.
     */
    async run(
        upstream: Upstream,
        request: ServiceRequest,
        deadline: number,
        limit: FirstByteLimit,
        spendRetry: () => boolean,
        signal: AbortSignal,
        onOverdue: (waitedMs: number) => void,
    ): Promise<UpstreamAttempt> {
        if (!request.isIdempotent) {
            const neverAborted = new AbortController().signal;
            return await this.#send(upstream, request, deadline + this.#lateAnswerMs, deadline, true, neverAborted);
        }
        const limitMs = limit.getLimit();
        const start = this.#clock.getTime();
        const race = new AttemptRace(isServed, mergeAttempts, closeUnused);
        const add = (isFresh: boolean): void =>
            void race.add(superseded =>
                this.#send(upstream, request, deadline, deadline, isFresh, AbortSignal.any([signal, superseded]))
            );
        add(false);
        const timers: ScheduledCall[] = [];
        const schedule = (delayMs: number, run: () => void): void => {
            if (this.#clock.getTime() + delayMs < deadline) {
                timers.push(this.#clock.schedule(delayMs, run));
            }
        };
        const checkOverdue = (): void => onOverdue(this.#clock.getTime() - start);
        schedule(limitMs, () => {
            if (!spendRetry()) {
                checkOverdue();
                return;
            }
            limit.record(limitMs);
            this.#recordRetry(upstream, request);
            this.#transport.closeIdle(upstream);
            add(true);
            schedule(limit.getLimit(), checkOverdue);
        });
        const attempt = await race.wait();
        timers.forEach(timer => timer.cancel());
        return attempt;
    }

    #recordRetry(upstream: Upstream, { requestId, account, service }: ServiceRequest): void {
        this.#decisions.record({
            decision: Decision.Retried,
            reason: "silent-connection",
            requestId,
            account,
            service,
            upstream: upstream.name,
        });
    }

    async #send(
        upstream: Upstream,
        request: ServiceRequest,
        end: number,
        deadline: number,
        freshConnection: boolean,
        signal: AbortSignal,
    ): Promise<UpstreamAttempt> {
        const start = this.#clock.getTime();
        const stalledBefore = this.#getStalledTime();
        const isWholeDue = !request.isIdempotent || this.#endsByDeadline;
        const answer = await this.#transport.send(upstream, request, {
            firstByteTimeoutMs: Math.max(0, end - start),
            answerTimeoutMs: isWholeDue ? Math.max(0, end - start) : undefined,
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

function isServed({ answer }: UpstreamAttempt): boolean {
    return answer.kind === UpstreamAnswerKind.Answered && isDefiniteStatus(answer.status);
}

/** Selects an answer before none, and what may have run before a refusal, which proves nothing about the other attempt. */
function mergeAttempts(earlier: UpstreamAttempt, later: UpstreamAttempt): UpstreamAttempt {
    const [used, unused] = getRank(later) < getRank(earlier) ? [earlier, later] : [later, earlier];
    closeUnused(unused);
    return used;
}

function getRank({ answer }: UpstreamAttempt): number {
    if (answer.kind === UpstreamAnswerKind.Answered) {
        return 2;
    }
    return NOT_RUN_KINDS.has(answer.kind) ? 0 : 1;
}

function closeUnused({ answer }: UpstreamAttempt): void {
    if (answer.kind === UpstreamAnswerKind.Answered) {
        answer.body.on("error", () => {}).destroy();
    }
}
