import { TruncatedAnswerError } from "../../errors/index.js";
import { isDefiniteStatus } from "../exchange/isDefiniteStatus.js";
import { UpstreamAnswerKind } from "../exchange/UpstreamAnswerKind.js";
import type { UpstreamAttempt } from "../exchange/UpstreamAttempt.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { AttemptRecorderOptions } from "./AttemptRecorderOptions.js";
import { createObservation } from "./createObservation.js";
import { ObservationKind } from "./ObservationKind.js";

const SHED_PAUSE_MS = 100;
/** An upstream that names a longer time is tried again after this one, in milliseconds. */
const MAX_PAUSE_MS = 300_000;
/** Results whose time counts as a latency. */
const LATENCY_KINDS: ReadonlySet<UpstreamAnswerKind> = new Set([
    UpstreamAnswerKind.Answered,
    UpstreamAnswerKind.TimedOut,
]);
/** Results that show no more than slowness, which is usual while an upstream is cold. */
const SLOW_KINDS: ReadonlySet<UpstreamAnswerKind> = new Set([
    UpstreamAnswerKind.TimedOut,
    UpstreamAnswerKind.Aborted,
    UpstreamAnswerKind.Superseded,
]);

/** Records the results of attempts as health observations of their upstreams. */
export class AttemptRecorder {
    readonly #options: AttemptRecorderOptions;

    /** @param options - Dependencies of the recorder. */
    constructor(options: AttemptRecorderOptions) {
        this.#options = options;
    }

    /**
     * Records a response head, or that no response came.
     * @param upstream - The upstream.
     * @param request - The request.
     * @param attempt - The attempt.
     */
    recordHead(upstream: PooledUpstream, request: ServiceRequest, attempt: UpstreamAttempt): void {
        const { answer, latencyMs } = attempt;
        if (answer.kind === UpstreamAnswerKind.Answered || answer.kind === UpstreamAnswerKind.Shed) {
            upstream.recordAnswer();
        }
        if (answer.kind === UpstreamAnswerKind.Shed) {
            this.#recordPause(upstream, answer.retryAfterMs ?? SHED_PAUSE_MS);
        }
        const isCold = upstream.isCold(latencyMs);
        if (LATENCY_KINDS.has(answer.kind) && !isCold) {
            this.#options.limit.record(latencyMs);
        }
        if (SLOW_KINDS.has(answer.kind) && isCold) {
            return;
        }
        const observation = createObservation(
            attempt,
            request.requestId,
            this.#options.getMinFailureWait(upstream, request),
        );
        if (observation !== undefined) {
            const usualMs = isCold ? Infinity : this.#findUsual(request);
            this.#options.outlierDetector.record(upstream, { ...observation, usualMs });
        }
    }

    /**
     * Records what a response says about its upstream, also if it comes after the deadline of its request.
     * @param upstream - The upstream.
     * @param attempt - The attempt.
     */
    recordNotice(upstream: PooledUpstream, { answer }: UpstreamAttempt): void {
        const isAnswered = answer.kind === UpstreamAnswerKind.Answered;
        if ((isAnswered || answer.kind === UpstreamAnswerKind.Shed) && answer.notice !== undefined) {
            const { retryAfterMs } = answer.notice;
            if (retryAfterMs !== undefined) {
                this.#recordPause(upstream, retryAfterMs);
            }
            this.#options.onNotice(upstream, answer.notice, isAnswered && isDefiniteStatus(answer.status));
        }
    }

    /**
     * Records that the deadline of a request has passed while it continues to run.
     * @param upstream - The upstream.
     * @param request - The request.
     * @param waitedMs - The time waited for the response, in milliseconds.
     */
    recordTimeout(upstream: PooledUpstream, request: ServiceRequest, waitedMs: number): void {
        this.recordHead(upstream, request, { answer: { kind: UpstreamAnswerKind.TimedOut }, latencyMs: waitedMs });
    }

    /**
     * Records the end of a response body.
     * @param upstream - The upstream.
     * @param request - The request.
     * @param attempt - The attempt.
     * @param error - The error that ended the body early, if any.
     */
    recordBodyEnd(
        upstream: PooledUpstream,
        request: ServiceRequest,
        attempt: UpstreamAttempt,
        error: Error | undefined,
    ): void {
        const { requestId } = request;
        const isFailed = createObservation(attempt, requestId, 0) !== undefined;
        const isReaderGone = error !== undefined && !(error instanceof TruncatedAnswerError);
        if (isFailed || isReaderGone) {
            return;
        }
        const { latencyMs } = attempt;
        const observation = error === undefined
            ? { kind: ObservationKind.Success, requestId, latencyMs, detail: "answered" }
            : { kind: ObservationKind.Failure, requestId, latencyMs, detail: "cut answer" };
        const isCold = upstream.isCold(latencyMs);
        const usualMs = isCold ? Infinity : this.#findUsual(request);
        this.#options.outlierDetector.record(upstream, { ...observation, usualMs });
        if (error === undefined && request.route !== undefined && !isCold) {
            this.#options.routeLatencies.record(request.route, latencyMs);
        }
    }

    #findUsual(request: ServiceRequest): number | undefined {
        const { route } = request;
        return route === undefined ? undefined : this.#options.routeLatencies.findMedian(route) ?? Infinity;
    }

    #recordPause(upstream: PooledUpstream, retryAfterMs: number): void {
        const pauseMs = Math.min(retryAfterMs, MAX_PAUSE_MS);
        upstream.recordPause(pauseMs);
        this.#options.clock.schedule(pauseMs, this.#options.onCapacityChange);
    }
}
