import { Decision } from "../../logging/index.js";
import { closeBody, OutcomeKind, UnknownReason } from "../../outcomes/index.js";
import type { Outcome } from "../../outcomes/index.js";
import type { ScheduledCall } from "../../time/index.js";
import { AttemptRace } from "../../utils/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { HedgedResult } from "./HedgedResult.js";
import type { HedgedRunnerOptions } from "./HedgedRunnerOptions.js";

/** Interval at which an overdue request asks for another upstream while none is free, in milliseconds. */
const CLAIM_INTERVAL_MS = 100;
const FIRST_FAILURE_STATUS = 500;

/** The outcome of one attempt. */
interface SlotResult {
    readonly outcome: Outcome;
    readonly pooled: PooledUpstream;
}

/**
 * Runs requests in claimed slots and sends an idempotent one whose answer is overdue to a second upstream as well (a hedged request).
 * The first attempt continues: only an answer makes it superfluous, whatever becomes of the second.
 */
export class HedgedRunner {
    readonly #options: HedgedRunnerOptions;

    /** @param options - Dependencies of the runner. */
    constructor(options: HedgedRunnerOptions) {
        this.#options = options;
    }

    /**
     * Runs a request to its outcome; never rejects.
     * @param first - The upstream whose slot was claimed.
     * @param request - The request.
     * @param deadline - The time by which the first byte is due, in milliseconds of the clock.
     * @param signal - Aborted when the caller disconnects.
     */
    async run(
        first: PooledUpstream,
        request: ServiceRequest,
        deadline: number,
        signal: AbortSignal,
    ): Promise<HedgedResult> {
        const { clock, runner, findPatience } = this.#options;
        const upstreams: PooledUpstream[] = [];
        let isConnectionLost = false;
        const overdue = new AbortController();
        const race = new AttemptRace<SlotResult>(isServed, mergeResults, ({ outcome }) => closeBody(outcome));
        const add = (pooled: PooledUpstream, sent: ServiceRequest, overdueSignal?: AbortSignal): void => {
            upstreams.push(pooled);
            race.add(async superseded => {
                const combined = AbortSignal.any([signal, superseded]);
                const outcome = await runner.run(pooled, sent, deadline, combined, overdueSignal);
                isConnectionLost ||= isLost(outcome);
                return { outcome, pooled };
            });
        };
        add(first, request, overdue.signal);
        let timer: ScheduledCall | undefined;
        const startCheck = async (): Promise<void> => {
            const isGranted = await this.#options.claimRetry(request);
            if (isGranted && !race.isDecided()) {
                check();
            }
        };
        const check = (): void => {
            const retry = this.#createRetry(first, request, deadline);
            const second = this.#options.claimSlot(retry);
            if (second === undefined) {
                timer = clock.schedule(CLAIM_INTERVAL_MS, check);
                return;
            }
            overdue.abort();
            this.#recordHedge(request, first, second);
            add(second, retry);
        };
        const patienceMs = findPatience(request, deadline);
        timer = patienceMs === undefined ? undefined : clock.schedule(patienceMs, () => void startCheck());
        const { outcome, pooled } = await race.wait();
        timer?.cancel();
        return { outcome, pooled, others: upstreams.filter(other => other !== pooled), isConnectionLost };
    }

    #createRetry(first: PooledUpstream, request: ServiceRequest, deadline: number): ServiceRequest {
        return {
            ...request,
            timeoutMs: Math.max(0, deadline - this.#options.clock.getTime()),
            hasOtherAttempt: false,
            sentBefore: request.sentBefore + 1,
            excludedUpstreams: [...request.excludedUpstreams, first.getUpstream().name],
        };
    }

    #recordHedge(
        { requestId, account, service }: ServiceRequest,
        first: PooledUpstream,
        second: PooledUpstream,
    ): void {
        this.#options.decisions.record({
            decision: Decision.Retried,
            reason: "overdue",
            requestId,
            account,
            service,
            upstream: first.getUpstream().name,
            figures: { other: second.getUpstream().name },
        });
    }
}

function isServed({ outcome }: SlotResult): boolean {
    return outcome.kind === OutcomeKind.Done && outcome.status < FIRST_FAILURE_STATUS;
}

function isLost(outcome: Outcome): boolean {
    return outcome.kind === OutcomeKind.Unknown && outcome.reason === UnknownReason.ConnectionLost;
}

/** Selects an upstream's own answer before an unknown outcome, and that before a refusal, as the request may have run. */
function mergeResults(earlier: SlotResult, later: SlotResult): SlotResult {
    const [used, unused] = getRank(later.outcome) < getRank(earlier.outcome) ? [earlier, later] : [later, earlier];
    closeBody(unused.outcome);
    return used;
}

function getRank(outcome: Outcome): number {
    switch (outcome.kind) {
        case OutcomeKind.NotRun:
            return 0;
        case OutcomeKind.Unknown:
            return 1;
        case OutcomeKind.Done:
            return 2;
    }
}
