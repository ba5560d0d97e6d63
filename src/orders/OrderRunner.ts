import { KeylessOrderPolicy } from "../configuration/index.js";
import type { Outcome } from "../outcomes/index.js";
import { createNotRun, createUnknown } from "../outcomes/index.js";
import { RefusalReason, UnknownReason } from "../outcomes/index.js";
import { PeerMethod } from "../peers/index.js";
import { checkPrefixAge } from "./checkPrefixAge.js";
import { ClaimState } from "./ClaimState.js";
import { decodeKeyPrefix } from "./decodeKeyPrefix.js";
import { decodeStoredOutcome } from "./decodeStoredOutcome.js";
import type { FindOrderParams } from "./FindOrderParams.js";
import type { FindOrderResult } from "./FindOrderResult.js";
import { HeldIncarnations } from "./HeldIncarnations.js";
import { isRestartable } from "./isRestartable.js";
import type { KeyPrefix } from "./KeyPrefix.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";
import type { OrderCall } from "./OrderCall.js";
import { OrderClaims } from "./OrderClaims.js";
import { OrderHandOver } from "./OrderHandOver.js";
import type { OrderHolder } from "./OrderHolder.js";
import { OrderLocator } from "./OrderLocator.js";
import type { OrderRecord } from "./OrderRecord.js";
import { OrderRecords } from "./OrderRecords.js";
import type { OrderRunnerOptions } from "./OrderRunnerOptions.js";
import type { OrderTask } from "./OrderTask.js";
import { readOutcome } from "./readOutcome.js";
import { RecordedRun } from "./RecordedRun.js";

const MS_PER_MINUTE = 60_000;
const RETRY_AFTER_MS = 1_000;

/** Runs each order at most once: the only process that may dispatch an order records it before the dispatch. */
export class OrderRunner {
    readonly #options: OrderRunnerOptions;
    readonly #records: OrderRecords;
    readonly #incarnations: HeldIncarnations;
    readonly #locator: OrderLocator;
    readonly #claims: OrderClaims;
    readonly #handOver: OrderHandOver;
    /** The runs in progress, including those whose callers have disconnected. */
    readonly #running = new Set<Promise<Outcome>>();

    /** @param options - The dependencies of the deduplication. */
    constructor(options: OrderRunnerOptions) {
        this.#options = options;
        this.#records = new OrderRecords(options.clock);
        this.#incarnations = new HeldIncarnations(options.clock, options.membership);
        this.#locator = new OrderLocator(options);
        this.#claims = new OrderClaims(options);
        this.#handOver = new OrderHandOver(options, this.#records, this.#incarnations);
        options.handlers.add(PeerMethod.FindOrder, params => this.#findOrder(params));
    }

    /** Creates an idempotency key prefix that names this process, for the answer to an address lookup. */
    createKeyPrefix(): string {
        return this.#incarnations.createKeyPrefix();
    }

    /** Gets the number of order records. */
    getRecordCount(): number {
        return this.#records.getSize();
    }

    /** Removes expired records and incarnations. */
    removeExpired(): void {
        this.#records.removeExpired();
        this.#incarnations.removeExpired();
    }

    /** Hands all records over to a successor. Later orders are forwarded to it. */
    async drain(): Promise<void> {
        await this.#handOver.drain();
    }

    /** Waits until no order runs and the outcomes of handed-over orders have been sent to the successor. */
    async waitForIdle(): Promise<void> {
        while (this.#running.size > 0) {
            await Promise.allSettled([...this.#running]);
        }
        await this.#handOver.waitForUpdates();
    }

    /**
     * Runs an order, or returns the outcome of an earlier run with the same key; never rejects.
     * @param call - The order.
     * @param task - Admission and dispatch of the order.
     * @param signal - Aborted when the caller disconnects.
     */
    async run(call: OrderCall, task: OrderTask, signal: AbortSignal): Promise<Outcome> {
        const key = call.request.idempotencyKey;
        if (key === undefined) {
            return await this.#runKeyless(call, task, signal);
        }
        await this.#handOver.waitForTransfer();
        const record = this.#records.find(call.account, key);
        if (record !== undefined) {
            return await this.#runRecorded(call, record, task, signal);
        }
        const prefix = decodeKeyPrefix(key);
        return prefix === undefined
            ? await this.#runPlain(call, key, task, signal)
            : await this.#runPrefixed(call, key, prefix, task, signal);
    }

    /**
     * Finds the outcome of an order by its key; never rejects.
     * @param account - The account's name; undefined for callers without an API key.
     * @param key - The order's key.
     */
    async findOutcome(account: string | undefined, key: string): Promise<Outcome> {
        const record = this.#records.find(account, key);
        if (record !== undefined) {
            return getCurrentOutcome(record);
        }
        const prefix = decodeKeyPrefix(key);
        const holder = prefix ?? await this.#findClaimHolder(account, key);
        if (holder === undefined || this.#incarnations.getAge(holder) !== undefined) {
            return createNotFound();
        }
        return await this.#locator.findOutcome(holder, account, key);
    }

    async #runKeyless(call: OrderCall, task: OrderTask, signal: AbortSignal): Promise<Outcome> {
        if (call.request.route.keylessOrders === KeylessOrderPolicy.Refuse) {
            const detail = "This route needs an Idempotency-Key.";
            return createNotRun(RefusalReason.IdempotencyKeyRequired, detail);
        }
        return await this.#createRun(call, task).run(signal);
    }

    async #runPrefixed(
        call: OrderCall,
        key: string,
        prefix: KeyPrefix,
        task: OrderTask,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const incarnationAgeMs = this.#incarnations.getAge(prefix);
        if (incarnationAgeMs === undefined) {
            return await this.#locator.send(call, prefix, signal);
        }
        const refusal = checkPrefixAge(incarnationAgeMs - prefix.minute * MS_PER_MINUTE) ?? this.#checkCapacity(call);
        if (refusal !== undefined) {
            return refusal;
        }
        const { memberId, incarnation } = prefix;
        const { account, fingerprint } = call;
        const record = this.#records.add({ account, key, fingerprint, holder: { memberId, incarnation } });
        return await this.#createRun(call, task, record).run(signal);
    }

    async #runPlain(call: OrderCall, key: string, task: OrderTask, signal: AbortSignal): Promise<Outcome> {
        const { id, incarnation } = this.#options.membership.getSelf();
        const holder = { memberId: id, incarnation };
        if (!this.#isHeld(holder)) {
            return await this.#locator.send(call, holder, signal);
        }
        const refusal = this.#checkCapacity(call);
        if (refusal !== undefined) {
            return await this.#checkNotClaimed(call, key, refusal, signal);
        }
        const { account, fingerprint } = call;
        const record = this.#records.add({ account, key, fingerprint, holder, claimId: this.#claims.createId() });
        return await this.#runClaimed(call, record, task, signal);
    }

    async #runRecorded(call: OrderCall, record: OrderRecord, task: OrderTask, signal: AbortSignal): Promise<Outcome> {
        if (record.fingerprint !== call.fingerprint) {
            const detail = "This Idempotency-Key belongs to another request; this one was not run.";
            return createNotRun(RefusalReason.IdempotencyKeyReused, detail);
        }
        const recorded = record.getOutcome();
        if (recorded === undefined) {
            return await this.#createRun(call, task, record).waitForEarlierRun(signal);
        }
        if (!isRestartable(recorded)) {
            return decodeStoredOutcome(recorded);
        }
        record.startAgain(this.#options.clock.getTime());
        return record.claimId === undefined
            ? await this.#createRun(call, task, record).run(signal)
            : await this.#runClaimed(call, record, task, signal);
    }

    async #runClaimed(call: OrderCall, record: OrderRecord, task: OrderTask, signal: AbortSignal): Promise<Outcome> {
        const refusal = await task.admit();
        if (refusal !== undefined) {
            return await this.#recordOutcome(record, await this.#checkNotClaimed(call, record.key, refusal, signal));
        }
        const claim = await this.#claims.claim(record, call.deadline);
        switch (claim.state) {
            case ClaimState.Granted:
                return await this.#createRun(call, task, record).runAdmitted(signal);
            case ClaimState.Taken: {
                task.cancel();
                const outcome = await this.#recordOutcome(
                    record,
                    await this.#sendToClaimHolder(call, claim.holder, signal),
                );
                this.#records.remove(record);
                return outcome;
            }
            case ClaimState.Unavailable:
                task.cancel();
                return await this.#recordOutcome(record, createStoreUnavailable());
        }
    }

    async #recordOutcome(record: OrderRecord, outcome: Outcome): Promise<Outcome> {
        const buffered = await readOutcome(outcome, ORDER_LIMITS.maxBodyBytes);
        this.#records.recordOutcome(record, buffered.stored);
        return buffered.outcome;
    }

    /** Returns the refusal of an order with a plain key only if no other host has claimed the key, and thus may have run it. */
    async #checkNotClaimed(call: OrderCall, key: string, refusal: Outcome, signal: AbortSignal): Promise<Outcome> {
        const claim = await this.#claims.find(call.account, key, call.deadline);
        switch (claim.state) {
            case ClaimState.Granted:
                return refusal;
            case ClaimState.Unavailable:
                return createStoreUnavailable();
            case ClaimState.Taken:
                return this.#isHeld(claim.holder) && this.#records.find(call.account, key) !== undefined
                    ? refusal
                    : await this.#sendToClaimHolder(call, claim.holder, signal);
        }
    }

    async #sendToClaimHolder(call: OrderCall, holder: OrderHolder, signal: AbortSignal): Promise<Outcome> {
        return this.#isHeld(holder)
            ? createUnknown(UnknownReason.KeyExpired, "The record of this Idempotency-Key has expired.")
            : await this.#locator.send(call, holder, signal);
    }

    #isHeld(holder: OrderHolder): boolean {
        return this.#incarnations.getAge(holder) !== undefined;
    }

    async #findClaimHolder(account: string | undefined, key: string): Promise<OrderHolder | undefined> {
        const claim = await this.#claims.find(account, key, this.#options.clock.getTime() + RETRY_AFTER_MS);
        return claim.state === ClaimState.Taken ? claim.holder : undefined;
    }

    #checkCapacity(call: OrderCall): Outcome | undefined {
        return this.#records.hasCapacity(call.account)
            ? undefined
            : createNotRun(RefusalReason.Overloaded, "Too many orders are on record.", RETRY_AFTER_MS);
    }

    #createRun(call: OrderCall, task: OrderTask, record?: OrderRecord): RecordedRun {
        const { clock } = this.#options;
        return new RecordedRun({
            clock,
            records: this.#records,
            record,
            call,
            task,
            onStarted: run => this.#addRunning(run),
            onSettled: settled => this.#handOver.sendUpdate(settled),
        });
    }

    #addRunning(run: Promise<Outcome>): void {
        this.#running.add(run);
        void run.finally(() => this.#running.delete(run));
    }

    #findOrder(params: FindOrderParams): FindOrderResult {
        const isHolder = this.#incarnations.getAge(params) !== undefined;
        if (params.key === undefined) {
            return { isHolder };
        }
        const record = this.#records.find(params.account, params.key);
        if (record === undefined) {
            return isHolder ? { isHolder, outcome: createNotFound() } : { isHolder };
        }
        return { isHolder, outcome: record.getOutcome() ?? createStillRunning() };
    }
}

function getCurrentOutcome(record: OrderRecord): Outcome {
    const recorded = record.getOutcome();
    return recorded === undefined ? createStillRunning() : decodeStoredOutcome(recorded);
}

function createStillRunning(): ReturnType<typeof createUnknown> {
    return createUnknown(UnknownReason.StillRunning, "The order is still running.");
}

function createNotFound(): ReturnType<typeof createUnknown> {
    return createUnknown(UnknownReason.NotFound, "No order with this key is on record here.");
}

function createStoreUnavailable(): Outcome {
    const detail = "This request was not run, but the store can't say whether an earlier one with this key was.";
    return createUnknown(UnknownReason.StoreUnavailable, detail);
}
