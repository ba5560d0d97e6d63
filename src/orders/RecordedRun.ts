import type { Outcome } from "../outcomes/index.js";
import { closeBody, createUnknown, UnknownReason } from "../outcomes/index.js";
import { runWithTimeout } from "../time/index.js";
import { decodeStoredOutcome } from "./decodeStoredOutcome.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";
import { readOutcome } from "./readOutcome.js";
import type { RecordedRunOptions } from "./RecordedRunOptions.js";

/** One run of an order. It runs to its end even if the caller disconnects, and records the outcome. */
export class RecordedRun {
    readonly #options: RecordedRunOptions;

    /** @param options - The order, its record and the run's dependencies. */
    constructor(options: RecordedRunOptions) {
        this.#options = options;
    }

    /**
     * Admits and dispatches the order.
     * @param signal - Aborted when the caller disconnects.
     */
    async run(signal: AbortSignal): Promise<Outcome> {
        return await this.#waitForOutcome(this.#start(this.#admitAndRun()), UnknownReason.DeadlineExceeded, signal);
    }

    /**
     * Dispatches an order that has been admitted.
     * @param signal - Aborted when the caller disconnects.
     */
    async runAdmitted(signal: AbortSignal): Promise<Outcome> {
        return await this.#waitForOutcome(this.#start(this.#runToEnd()), UnknownReason.DeadlineExceeded, signal);
    }

    /**
     * Waits for the run that an earlier request with the same key has started.
     * @param signal - Aborted when the caller disconnects.
     */
    async waitForEarlierRun(signal: AbortSignal): Promise<Outcome> {
        const earlierOutcome = this.#options.record?.waitForOutcome().then(decodeStoredOutcome);
        const stillRunning = createUnknown(
            UnknownReason.StillRunning,
            "An earlier request with this key is still running.",
        );
        return earlierOutcome === undefined
            ? stillRunning
            : await this.#waitForOutcome(earlierOutcome, UnknownReason.StillRunning, signal);
    }

    #start(run: Promise<Outcome>): Promise<Outcome> {
        this.#options.onStarted(run);
        return run;
    }

    async #admitAndRun(): Promise<Outcome> {
        const refusal = await this.#options.task.admit();
        return refusal === undefined ? await this.#runToEnd() : await this.#recordOutcome(refusal);
    }

    async #runToEnd(): Promise<Outcome> {
        return await this.#recordOutcome(await this.#options.task.run());
    }

    async #recordOutcome(outcome: Outcome): Promise<Outcome> {
        const { record, records } = this.#options;
        if (record === undefined) {
            return outcome;
        }
        const buffered = await readOutcome(outcome, ORDER_LIMITS.maxBodyBytes);
        records.recordOutcome(record, buffered.stored);
        this.#options.onSettled(record);
        return buffered.outcome;
    }

    /** Waits for the outcome until the caller's deadline or its disconnection. A later outcome is still recorded. */
    async #waitForOutcome(run: Promise<Outcome>, reason: UnknownReason, signal: AbortSignal): Promise<Outcome> {
        let isWaiting = true;
        void run.then(outcome => isWaiting ? undefined : closeBody(outcome));
        const detail = "The order was not answered in time; its outcome can be asked for by its key.";
        const unanswered = createUnknown(reason, detail);
        const remainingMs = Math.max(0, this.#options.call.deadline - this.#options.clock.getTime());
        const callerLeft = waitForAbort(signal).then(() => unanswered);
        const outcome = await Promise.race([
            runWithTimeout(this.#options.clock, remainingMs, run, () => unanswered),
            callerLeft,
        ]);
        isWaiting = false;
        return outcome;
    }
}

function waitForAbort(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
