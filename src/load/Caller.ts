import { UnexpectedVariantError } from "../errors/index.js";
import type { AttemptEnd } from "./AttemptEnd.js";
import { AttemptEndKind } from "./AttemptEndKind.js";
import type { CallerOptions } from "./CallerOptions.js";
import type { CallerResult } from "./CallerResult.js";
import type { CallerTask } from "./CallerTask.js";
import { FailureReason } from "./FailureReason.js";
import { LookupResultKind } from "./LookupResultKind.js";
import type { OrderRoute } from "./OrderRoute.js";
import { readAttemptEnd } from "./readAttemptEnd.js";
import { RequestKind } from "./RequestKind.js";
import type { RequestResult } from "./RequestResult.js";
import { ResultKind } from "./ResultKind.js";
import { RouteChooser } from "./RouteChooser.js";

const NO_ADDRESS: AttemptEnd = {
    kind: AttemptEndKind.Again,
    result: ResultKind.Failed,
    reason: FailureReason.NoAddress,
};

/** Sends requests of a client account as the system's callers do: to addresses that the system named. */
export class Caller {
    readonly #options: CallerOptions;

    /** @param options - What it is built from. */
    constructor(options: CallerOptions) {
        this.#options = options;
    }

    /**
     * Runs a request to its result, over as many attempts as the experiment allows.
     * @param task - The request.
     */
    async run(task: CallerTask): Promise<CallerResult> {
        const { clock, experiment, random } = this.#options;
        const startedAt = clock.getWallTime();
        const chooser = new RouteChooser(random, task.reference, task.repeatedRoute);
        let attempts = 1;
        let mayHaveRunBefore = false;
        let end = await this.#runAttempt(task, chooser);
        while (end.kind !== AttemptEndKind.Final && attempts <= experiment.resends) {
            if (end.kind === AttemptEndKind.Again) {
                mayHaveRunBefore ||= end.reason !== FailureReason.NoAddress;
                await clock.wait(experiment.resendDelayMs * attempts);
            }
            attempts++;
            end = await this.#runAttempt(task, chooser);
        }
        const result = { ...this.#createResult(task, end, startedAt), attempts, mayHaveRunBefore };
        return { result, route: chooser.getRoute() };
    }

    async #runAttempt(task: CallerTask, chooser: RouteChooser): Promise<AttemptEnd> {
        const found = await this.#options.book.getAddresses();
        switch (found.kind) {
            case LookupResultKind.Refused: {
                const { reason, status } = found.problem;
                return { kind: AttemptEndKind.Final, result: ResultKind.Refused, reason, status };
            }
            case LookupResultKind.NoAnswer:
                return NO_ADDRESS;
            case LookupResultKind.Found:
                return await this.#sendTo(chooser.select(found.addresses), task, chooser);
            default:
                throw new UnexpectedVariantError(found);
        }
    }

    async #sendTo(route: OrderRoute, task: CallerTask, chooser: RouteChooser): Promise<AttemptEnd> {
        const { experiment, transport } = this.#options;
        const path = createPath(task);
        const attempt = await transport.send({
            url: route.address.url,
            method: task.item.method ?? (task.item.kind === RequestKind.Order ? "POST" : "GET"),
            path,
            headers: this.#createHeaders(task, route),
            body: createBody(task),
            timeoutMs: experiment.answerTimeoutMs,
        });
        const end = await readAttemptEnd(attempt, task.item.kind, path);
        this.#recordEnd(end, route, chooser);
        return end;
    }

    #recordEnd(end: AttemptEnd, route: OrderRoute, chooser: RouteChooser): void {
        switch (end.kind) {
            case AttemptEndKind.Elsewhere:
                if (end.result === ResultKind.Refused) {
                    chooser.recordSent();
                }
                chooser.recordUseless(route.address);
                this.#options.book.removeAnswer();
                return;
            case AttemptEndKind.Again:
            case AttemptEndKind.Final:
                chooser.recordSent();
                return;
            default:
                throw new UnexpectedVariantError(end.kind);
        }
    }

    #createHeaders(task: CallerTask, route: OrderRoute): Record<string, string> {
        const { key } = this.#options;
        return {
            "x-request-id": task.reference,
            ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
            ...(task.item.kind === RequestKind.Order ? { "idempotency-key": route.key } : {}),
            ...task.item.headers,
        };
    }

    #createResult(
        task: CallerTask,
        end: AttemptEnd,
        startedAt: number,
    ): Omit<RequestResult, "attempts" | "mayHaveRunBefore"> {
        return {
            account: this.#options.account,
            requestKind: task.item.kind,
            reference: task.reference,
            isRepeated: task.repeatedRoute !== undefined,
            kind: end.result,
            reason: end.reason,
            status: end.status,
            isWrong: end.isWrong ?? false,
            requestId: end.requestId,
            startedAt,
            durationMs: this.#options.clock.getTime() - task.dueAt,
        };
    }
}

function createPath(task: CallerTask): string {
    const { path } = task.item;
    return `${path}${path.includes("?") ? "&" : "?"}ref=${task.reference}`;
}

function createBody(task: CallerTask): Buffer | undefined {
    if (task.item.kind !== RequestKind.Order) {
        return undefined;
    }
    const text = JSON.stringify({ reference: task.reference });
    return Buffer.from(text.padEnd(task.item.bodyBytes));
}
