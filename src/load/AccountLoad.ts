import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { Caller } from "./Caller.js";
import type { CallerTask } from "./CallerTask.js";
import type { ExperimentAccount } from "./ExperimentAccount.js";
import type { MixItem } from "./MixItem.js";
import type { OrderRoute } from "./OrderRoute.js";
import { RequestKind } from "./RequestKind.js";
import type { ResultBook } from "./ResultBook.js";
import { ResultKind } from "./ResultKind.js";

const MS_PER_SECOND = 1_000;
const IDLE_CHECK_MS = 50;

interface AccountLoadOptions {
    readonly account: ExperimentAccount;
    readonly callers: readonly Caller[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly results: ResultBook;
    /** Begins every reference, so that runs don't share any. */
    readonly runId: string;
}

/** Sends an account's requests at their times, whether or not earlier ones have been answered. */
export class AccountLoad {
    readonly #options: AccountLoadOptions;
    readonly #running = new Set<Promise<void>>();
    #count = 0;

    /** @param options - What it is built from. */
    constructor(options: AccountLoadOptions) {
        this.#options = options;
    }

    /**
     * Runs the load and resolves when every request has its result.
     * @param durationMs - How long requests are sent, in milliseconds.
     */
    async run(durationMs: number): Promise<void> {
        const { clock } = this.#options;
        const startedAt = clock.getTime();
        let dueAt = startedAt;
        while (true) {
            const rate = this.#getRate(dueAt - startedAt);
            dueAt += rate > 0 ? this.#getGapMs(rate) : IDLE_CHECK_MS;
            if (dueAt >= startedAt + durationMs) {
                break;
            }
            if (dueAt > clock.getTime()) {
                await clock.wait(dueAt - clock.getTime());
            }
            if (rate > 0) {
                this.#startRequest(dueAt);
            }
        }
        await Promise.all(this.#running);
    }

    #getRate(elapsedMs: number): number {
        const { account } = this.#options;
        const phase = account.phases.findLast(candidate => candidate.atMs <= elapsedMs);
        return account.rate * (phase?.factor ?? 1);
    }

    #getGapMs(rate: number): number {
        return -Math.log(1 - this.#options.random.getNext()) * MS_PER_SECOND / rate;
    }

    #startRequest(dueAt: number): void {
        const { account, clock, results, runId } = this.#options;
        results.recordLateness(clock.getTime() - dueAt);
        const reference = `${runId}-${account.name}-${this.#count++}`;
        const work = this.#runRequest({ item: this.#selectItem(), reference, dueAt });
        this.#running.add(work);
        void work.finally(() => this.#running.delete(work));
    }

    async #runRequest(task: CallerTask): Promise<void> {
        const { callers, random } = this.#options;
        const caller = callers[Math.floor(random.getNext() * callers.length)]!;
        const isRepeated = random.getNext() < task.item.resendShare;
        const route = await this.#runTask(caller, task);
        if (route !== undefined && isRepeated && task.item.kind === RequestKind.Order) {
            await this.#runTask(caller, { ...task, dueAt: this.#options.clock.getTime(), repeatedRoute: route });
        }
    }

    async #runTask(caller: Caller, task: CallerTask): Promise<OrderRoute | undefined> {
        const { account, results } = this.#options;
        results.recordSent(account.name, task.item.kind);
        const { result, route } = await caller.run(task);
        results.recordResult(result);
        return result.kind === ResultKind.Done ? route : undefined;
    }

    #selectItem(): MixItem {
        const { mix } = this.#options.account;
        const total = mix.reduce((sum, item) => sum + item.weight, 0);
        let remaining = this.#options.random.getNext() * total;
        for (const item of mix) {
            remaining -= item.weight;
            if (remaining < 0) {
                return item;
            }
        }
        return mix.at(-1)!;
    }
}
