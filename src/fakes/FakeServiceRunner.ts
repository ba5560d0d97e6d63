import { Readable } from "node:stream";
import type { Outcome } from "../outcomes/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { FindOutcomeParams, FindOutcomeResult, RecordSenderEndParams } from "../services/index.js";
import type { ServiceAnswer, ServiceRequest, ServiceRunner } from "../services/index.js";
import { RequestState } from "../services/index.js";
import { OutcomeCache } from "../services/outcomes/OutcomeCache.js";
import type { Clock } from "../time/index.js";

/** A service host that records the requests its upstream ran; tests set its answers. */
export class FakeServiceRunner implements ServiceRunner {
    /** Service time of the upstream, in milliseconds. */
    delayMs = 5;
    /** Creates the refusal of a request; undefined to run the request. */
    refuse: (request: ServiceRequest) => Outcome | undefined = () => undefined;
    /** Creates the fields of an answer that differ from the default. */
    answer: (request: ServiceRequest) => Partial<ServiceAnswer> = () => ({});
    /** The requests that ran, oldest first. */
    readonly runs: ServiceRequest[];
    /** What leaving hosts said about their requests, oldest first. */
    readonly senderEnds: RecordSenderEndParams[] = [];
    readonly #clock: Clock;
    readonly #outcomes: OutcomeCache;

    /**
     * @param clock - The source of time.
     * @param runs - Receives the requests that ran; several service hosts may share it.
     */
    constructor(clock: Clock, runs: ServiceRequest[] = []) {
        this.#clock = clock;
        this.#outcomes = new OutcomeCache(clock);
        this.runs = runs;
    }

    /**
     * Runs one attempt.
     * @param request - The request.
     */
    async run(request: ServiceRequest): Promise<ServiceAnswer> {
        const load = { upstream: `${request.zone}-1`, isCrashSuspected: false, freeSlots: 4, queued: 0 };
        const refusal = this.refuse(request) ?? this.#findRefusal(request);
        if (refusal !== undefined) {
            return { outcome: refusal, ...load };
        }
        this.#outcomes.recordStart(request.requestId);
        this.runs.push(request);
        await this.#clock.wait(this.delayMs);
        const text = `ran ${request.requestId}`;
        const answer = { outcome: createAnswer(text), ...load, ...this.answer(request) };
        this.#recordEnd(request, answer, text);
        return answer;
    }

    /**
     * Finds the outcome of an attempt.
     * @param params - The attempt.
     */
    findOutcome(params: FindOutcomeParams): FindOutcomeResult {
        return this.#outcomes.findOrRefuse(params);
    }

    /**
     * Records that the sender of requests is leaving.
     * @param params - The requests and the time left.
     */
    recordSenderEnd(params: RecordSenderEndParams): void {
        this.senderEnds.push(params);
    }

    #findRefusal(request: ServiceRequest): Outcome | undefined {
        const isRefused = this.#outcomes.find(request.requestId)?.state === RequestState.NeverSeen;
        return isRefused ? createNotRun(RefusalReason.HostUnreachable, "The request came too late.") : undefined;
    }

    #recordEnd(request: ServiceRequest, answer: ServiceAnswer, text: string): void {
        const { outcome, upstream } = answer;
        if (outcome.kind === OutcomeKind.Done) {
            const { kind, status, headers } = outcome;
            const body = Buffer.from(text).toString("base64");
            this.#outcomes.recordEnd(request.requestId, { kind, status, headers, body }, upstream);
        }
    }
}

function createAnswer(text: string): Outcome {
    return { kind: OutcomeKind.Done, status: 200, headers: {}, body: Readable.from([Buffer.from(text)]) };
}
