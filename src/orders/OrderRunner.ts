import { KeylessOrderPolicy } from "../configuration/index.js";
import type { Outcome } from "../outcomes/index.js";
import { createNotRun, createUnknown } from "../outcomes/index.js";
import { RefusalReason, UnknownReason } from "../outcomes/index.js";
import { PeerMethod } from "../peers/index.js";
import { checkPrefixAge } from "./checkPrefixAge.js";
import { ClaimState } from "./ClaimState.js";
import { decodeKeyPrefix } from "./decodeKeyPrefix.js";
import type { FindOrderParams } from "./FindOrderParams.js";
import type { FindOrderResult } from "./FindOrderResult.js";
import { HeldPrefixes } from "./HeldPrefixes.js";
import { isRestartable } from "./isRestartable.js";
import type { KeyPrefix } from "./KeyPrefix.js";
import { openKeptOutcome } from "./openKeptOutcome.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";
import type { OrderCall } from "./OrderCall.js";
import { OrderClaims } from "./OrderClaims.js";
import { OrderHandOver } from "./OrderHandOver.js";
import type { OrderHolder } from "./OrderHolder.js";
import { OrderLocator } from "./OrderLocator.js";
import type { OrderRecord } from "./OrderRecord.js";
import { OrderRecords } from "./OrderRecords.js";
import type { OrderRunnerOptions } from "./OrderRunnerOptions.js";
import type { OrderWork } from "./OrderWork.js";
import { readOutcome } from "./readOutcome.js";
import { RecordedRun } from "./RecordedRun.js";

const MS_PER_MINUTE = 60_000;
const RETRY_AFTER_MS = 1_000;

/** Runs each order at most once: a record stands before the dispatch, at the one process that may dispatch it. */
export class OrderRunner {
    readonly #options: OrderRunnerOptions;
    readonly #records: OrderRecords;
    readonly #prefixes: HeldPrefixes;
    readonly #locator: OrderLocator;
    readonly #claims: OrderClaims;
    readonly #handOver: OrderHandOver;
    /** Runs that go on, also those whose callers have left. */
    readonly #running = new Set<Promise<Outcome>>();

    /** @param options - What the deduplication works with. */
    constructor(options: OrderRunnerOptions) {
        this.#options = options;
        this.#records = new OrderRecords(options.clock);
        this.#prefixes = new HeldPrefixes(options.clock, options.membership);
        this.#locator = new OrderLocator(options);
        this.#claims = new OrderClaims(options);
        this.#handOver = new OrderHandOver(options, this.#records, this.#prefixes);
        options.handlers.add(PeerMethod.FindOrder, params => this.#findAnswer(params));
    }

    /** Creates a key prefix that names this process, for the lookup's answer. */
    createKeyPrefix(): string {
        return this.#prefixes.createPrefix();
    }

    /** Gets how many records are in memory. */
    getRecordCount(): number {
        return this.#records.getSize();
    }

    /** Removes records that have outlived their time. */
    removeExpired(): void {
        this.#records.removeExpired();
        this.#prefixes.removeExpired();
    }

    /** Hands all records over to a successor; afterwards orders are forwarded to it. */
    async drain(): Promise<void> {
        await this.#handOver.drain();
    }

    /** Waits until no order runs, and a successor knows the outcomes of those that ran. */
    async waitForIdle(): Promise<void> {
        while (this.#running.size > 0) {
            await Promise.allSettled([...this.#running]);
        }
        await this.#handOver.waitForUpdates();
    }

    /**
     * Runs an order, or gives the outcome of the earlier run with the same key; never rejects.
     * @param call - The order.
     * @param work - The steps after deduplication.
     * @param signal - Aborted when the caller has left.
     */
    async run(call: OrderCall, work: OrderWork, signal: AbortSignal): Promise<Outcome> {
        const key = call.request.idempotencyKey;
        if (key === undefined) {
            return await this.#runKeyless(call, work, signal);
        }
        await this.#handOver.waitWhileSending();
        const record = this.#records.find(call.account, key);
        if (record !== undefined) {
            return await this.#runKnown(call, record, work, signal);
        }
        const prefix = decodeKeyPrefix(key);
        return prefix === undefined
            ? await this.#runPlain(call, key, work, signal)
            : await this.#runPrefixed(call, key, prefix, work, signal);
    }

    /**
     * Finds the outcome of an order by its key; never rejects.
     * @param account - The account's name.
     * @param key - The order's key.
     */
    async findOutcome(account: string, key: string): Promise<Outcome> {
        const record = this.#records.find(account, key);
        if (record !== undefined) {
            return getPresentOutcome(record);
        }
        const prefix = decodeKeyPrefix(key);
        const holder = prefix ?? await this.#findClaimant(account, key);
        if (holder === undefined || this.#prefixes.getAge(holder) !== undefined) {
            return createNotFound();
        }
        return await this.#locator.findOutcome(holder, account, key);
    }

    async #runKeyless(call: OrderCall, work: OrderWork, signal: AbortSignal): Promise<Outcome> {
        if (call.request.route.keylessOrders === KeylessOrderPolicy.Refuse) {
            const detail = "This route needs an Idempotency-Key.";
            return createNotRun(RefusalReason.IdempotencyKeyRequired, detail);
        }
        return await this.#createRun(call, work).run(signal);
    }

    async #runPrefixed(
        call: OrderCall,
        key: string,
        prefix: KeyPrefix,
        work: OrderWork,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const heldMs = this.#prefixes.getAge(prefix);
        if (heldMs === undefined) {
            return await this.#locator.send(call, prefix, signal);
        }
        const refusal = checkPrefixAge(heldMs - prefix.minute * MS_PER_MINUTE) ?? this.#checkRoom(call);
        if (refusal !== undefined) {
            return refusal;
        }
        const { memberId, incarnation } = prefix;
        const { account, fingerprint } = call;
        const record = this.#records.add({ account, key, fingerprint, holder: { memberId, incarnation } });
        return await this.#createRun(call, work, record).run(signal);
    }

    async #runPlain(call: OrderCall, key: string, work: OrderWork, signal: AbortSignal): Promise<Outcome> {
        const { id, incarnation } = this.#options.membership.getSelf();
        const holder = { memberId: id, incarnation };
        if (!this.#isHeld(holder)) {
            return await this.#locator.send(call, holder, signal);
        }
        const refusal = this.#checkRoom(call);
        if (refusal !== undefined) {
            return await this.#checkNotClaimed(call, key, refusal, signal);
        }
        const { account, fingerprint } = call;
        const record = this.#records.add({ account, key, fingerprint, holder, claimId: this.#claims.createId() });
        return await this.#runClaimed(call, record, work, signal);
    }

    async #runKnown(call: OrderCall, record: OrderRecord, work: OrderWork, signal: AbortSignal): Promise<Outcome> {
        if (record.fingerprint !== call.fingerprint) {
            const detail = "This Idempotency-Key belongs to another request; this one was not run.";
            return createNotRun(RefusalReason.IdempotencyKeyReused, detail);
        }
        const kept = record.getOutcome();
        if (kept === undefined) {
            return await this.#createRun(call, work, record).waitForEarlier(signal);
        }
        if (!isRestartable(kept)) {
            return openKeptOutcome(kept);
        }
        record.startAgain(this.#options.clock.getTime());
        return record.claimId === undefined
            ? await this.#createRun(call, work, record).run(signal)
            : await this.#runClaimed(call, record, work, signal);
    }

    async #runClaimed(call: OrderCall, record: OrderRecord, work: OrderWork, signal: AbortSignal): Promise<Outcome> {
        const refusal = await work.admit();
        if (refusal !== undefined) {
            return await this.#recordOutcome(record, await this.#checkNotClaimed(call, record.key, refusal, signal));
        }
        const claim = await this.#claims.claim(record, call.deadline);
        switch (claim.state) {
            case ClaimState.Granted:
                return await this.#createRun(call, work, record).runAdmitted(signal);
            case ClaimState.Taken: {
                work.cancel();
                const outcome = await this.#recordOutcome(
                    record,
                    await this.#sendToClaimant(call, claim.holder, signal),
                );
                this.#records.remove(record);
                return outcome;
            }
            case ClaimState.Unavailable:
                work.cancel();
                return await this.#recordOutcome(record, createStoreUnavailable());
        }
    }

    async #recordOutcome(record: OrderRecord, outcome: Outcome): Promise<Outcome> {
        const buffered = await readOutcome(outcome, ORDER_LIMITS.maxBodyBytes);
        this.#records.recordOutcome(record, buffered.kept);
        return buffered.outcome;
    }

    /** Gives a refusal of a plain key only if no other host may have run it. */
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
                    : await this.#sendToClaimant(call, claim.holder, signal);
        }
    }

    async #sendToClaimant(call: OrderCall, holder: OrderHolder, signal: AbortSignal): Promise<Outcome> {
        return this.#isHeld(holder)
            ? createUnknown(UnknownReason.KeyExpired, "The record of this Idempotency-Key has lapsed.")
            : await this.#locator.send(call, holder, signal);
    }

    #isHeld(holder: OrderHolder): boolean {
        return this.#prefixes.getAge(holder) !== undefined;
    }

    async #findClaimant(account: string, key: string): Promise<OrderHolder | undefined> {
        const claim = await this.#claims.find(account, key, this.#options.clock.getTime() + RETRY_AFTER_MS);
        return claim.state === ClaimState.Taken ? claim.holder : undefined;
    }

    #checkRoom(call: OrderCall): Outcome | undefined {
        return this.#records.hasRoom(call.account)
            ? undefined
            : createNotRun(RefusalReason.Overloaded, "Too many orders are on record.", RETRY_AFTER_MS);
    }

    #createRun(call: OrderCall, work: OrderWork, record?: OrderRecord): RecordedRun {
        const { clock } = this.#options;
        return new RecordedRun({
            clock,
            records: this.#records,
            record,
            call,
            work,
            onStarted: run => this.#addRunning(run),
            onSettled: settled => this.#handOver.sendUpdate(settled),
        });
    }

    #addRunning(run: Promise<Outcome>): void {
        this.#running.add(run);
        void run.finally(() => this.#running.delete(run));
    }

    #findAnswer(params: FindOrderParams): FindOrderResult {
        const isHolder = this.#prefixes.getAge(params) !== undefined;
        if (params.account === undefined || params.key === undefined) {
            return { isHolder };
        }
        const record = this.#records.find(params.account, params.key);
        if (record === undefined) {
            return isHolder ? { isHolder, outcome: createNotFound() } : { isHolder };
        }
        return { isHolder, outcome: record.getOutcome() ?? createStillRunning() };
    }
}

function getPresentOutcome(record: OrderRecord): Outcome {
    const kept = record.getOutcome();
    return kept === undefined ? createStillRunning() : openKeptOutcome(kept);
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
