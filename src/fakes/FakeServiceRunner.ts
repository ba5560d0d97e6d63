import { Readable } from "node:stream";
import type { Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { ServiceAnswer, ServiceRequest, ServiceRunner } from "../services/index.js";
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

    /**
     * @param clock - The source of time.
     * @param runs - Where runs are recorded, maybe shared by several service hosts.
     */
    constructor(clock: Clock, runs: ServiceRequest[] = []) {
        this.#clock = clock;
        this.runs = runs;
    }

    /**
     * Runs one attempt.
     * @param request - The request.
     */
    async run(request: ServiceRequest): Promise<ServiceAnswer> {
        const load = { upstream: `${request.zone}-1`, isCrashSuspected: false, freeSlots: 4, queued: 0 };
        const refusal = this.refuse(request);
        if (refusal !== undefined) {
            return { outcome: refusal, ...load };
        }
        this.runs.push(request);
        await this.#clock.wait(this.delayMs);
        const body = Readable.from([Buffer.from(`ran ${request.requestId}`)]);
        const outcome: Outcome = { kind: OutcomeKind.Done, status: 200, headers: {}, body };
        return { outcome, ...load, ...this.answer(request) };
    }
}
