import { Readable } from "node:stream";
import type { Outcome } from "../outcomes/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { FindOutcomeParams, FindOutcomeResult } from "../services/index.js";
import type { ServiceAnswer, ServiceRequest, ServiceRunner } from "../services/index.js";
import { RequestState } from "../services/index.js";
import { OutcomeCache } from "../services/OutcomeCache.js";
import type { Clock } from "../time/index.js";

/** A service host that records what its upstream ran, and answers as a test tells it. */
export class FakeServiceRunner implements ServiceRunner {
    /** Time that the upstream takes, in milliseconds. */
    delayMs = 5;
    /** Answers in place of the upstream, without a run; undefined to let it run. */
    refuse: (request: ServiceRequest) => Outcome | undefined = () => undefined;
    /** The answer after a run. */
    answer: (request: ServiceRequest) => Partial<ServiceAnswer> = () => ({});
    /** What ran, in order. */
    readonly runs: ServiceRequest[];
    readonly #clock: Clock;
    readonly #memory: OutcomeCache;

    /**
     * @param clock - The source of time.
     * @param runs - Where runs are recorded, maybe shared by several service hosts.
     */
    constructor(clock: Clock, runs: ServiceRequest[] = []) {
        this.#clock = clock;
        this.#memory = new OutcomeCache(clock);
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
        this.#memory.recordStart(request.requestId);
        this.runs.push(request);
        await this.#clock.wait(this.delayMs);
        const text = `ran ${request.requestId}`;
        const answer = { outcome: createAnswer(text), ...load, ...this.answer(request) };
        this.#recordEnd(request, answer, text);
        return answer;
    }

    /**
     * Finds what became of an attempt.
     * @param params - The attempt.
     */
    findOutcome(params: FindOutcomeParams): FindOutcomeResult {
        return this.#memory.findOrRefuse(params);
    }

    #findRefusal(request: ServiceRequest): Outcome | undefined {
        const isRefused = this.#memory.find(request.requestId)?.state === RequestState.NeverSeen;
        return isRefused ? createNotRun(RefusalReason.HostUnreachable, "The request came too late.") : undefined;
    }

    #recordEnd(request: ServiceRequest, answer: ServiceAnswer, text: string): void {
        const { outcome, upstream } = answer;
        if (outcome.kind === OutcomeKind.Done) {
            const { kind, status, headers } = outcome;
            const body = Buffer.from(text).toString("base64");
            this.#memory.recordEnd(request.requestId, { kind, status, headers, body }, upstream);
        }
    }
}

function createAnswer(text: string): Outcome {
    return { kind: OutcomeKind.Done, status: 200, headers: {}, body: Readable.from([Buffer.from(text)]) };
}
