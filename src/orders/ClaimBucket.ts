import type { StoreRecord } from "../store/index.js";
import { WriteResultKind } from "../store/index.js";
import type { ClaimAnswer } from "./ClaimAnswer.js";
import type { ClaimBucketOptions } from "./ClaimBucketOptions.js";
import type { ClaimEntry } from "./ClaimEntry.js";
import type { ClaimOrderParams } from "./ClaimOrderParams.js";
import { ClaimState } from "./ClaimState.js";

const MS_PER_MINUTE = 60_000;
const CLAIM_LIFETIME_MINUTES = 24 * 60;
const MAX_ENTRIES = 8_000;
const MAX_ROUNDS = 8;

interface PendingClaim {
    readonly params: ClaimOrderParams;
    readonly resolve: (answer: ClaimAnswer) => void;
}

type ClaimEntries = Record<string, ClaimEntry>;

/** Writes the claims of one bucket to the store, several with one compare-and-swap. */
export class ClaimBucket {
    readonly #options: ClaimBucketOptions;
    #pending: PendingClaim[] = [];
    #isRunning = false;

    /** @param options - What the writer works with. */
    constructor(options: ClaimBucketOptions) {
        this.#options = options;
    }

    /**
     * Claims a key or asks who holds it; never rejects.
     * @param params - The claim.
     */
    run(params: ClaimOrderParams): Promise<ClaimAnswer> {
        return new Promise(resolve => {
            this.#pending.push({ params, resolve });
            if (!this.#isRunning) {
                void this.#runPending();
            }
        });
    }

    async #runPending(): Promise<void> {
        this.#isRunning = true;
        while (this.#pending.length > 0) {
            const batch = this.#pending;
            this.#pending = [];
            await this.#runBatch(batch).catch(() => refuseAll(batch));
            await this.#options.clock.wait(this.#options.pauseMs);
        }
        this.#isRunning = false;
    }

    /** A lost answer leaves the claims open; the next round finds them in the record by their ids. */
    async #runBatch(batch: readonly PendingClaim[]): Promise<void> {
        const { store, key } = this.#options;
        let record = await store.get(key);
        for (let round = 0; round < MAX_ROUNDS; round++) {
            const entries = this.#getEntries(record);
            const newClaims = batch.filter(({ params }) => isNewClaim(entries, params));
            if (newClaims.length === 0) {
                sendAnswers(batch, entries);
                return;
            }
            if (Object.keys(entries).length + newClaims.length > MAX_ENTRIES) {
                break;
            }
            record = await this.#write(record, this.#addClaims(entries, newClaims));
        }
        refuseAll(batch);
    }

    async #write(record: StoreRecord | undefined, entries: ClaimEntries): Promise<StoreRecord | undefined> {
        const { store, key } = this.#options;
        const value = JSON.stringify(entries);
        try {
            const result = await store.compareAndSwap(key, value, record?.revision ?? 0);
            return result.kind === WriteResultKind.Written ? { value, revision: result.revision } : result.current;
        }
        catch {
            return await store.get(key);
        }
    }

    #getEntries(record: StoreRecord | undefined): ClaimEntries {
        const entries = record === undefined ? {} : JSON.parse(record.value) as ClaimEntries;
        const oldestMinute = this.#getMinute() - CLAIM_LIFETIME_MINUTES;
        return Object.fromEntries(Object.entries(entries).filter(([, entry]) => entry.minute >= oldestMinute));
    }

    #addClaims(entries: ClaimEntries, newClaims: readonly PendingClaim[]): ClaimEntries {
        const added = { ...entries };
        const minute = this.#getMinute();
        for (const { params } of newClaims) {
            added[params.digest] ??= { claimId: params.claimId ?? "", ...params.holder, minute };
        }
        return added;
    }

    #getMinute(): number {
        return Math.floor(this.#options.clock.getWallTime() / MS_PER_MINUTE);
    }
}

function isNewClaim(entries: ClaimEntries, params: ClaimOrderParams): boolean {
    return params.claimId !== undefined && entries[params.digest] === undefined;
}

function sendAnswers(batch: readonly PendingClaim[], entries: ClaimEntries): void {
    for (const { params, resolve } of batch) {
        resolve(getAnswer(entries[params.digest], params));
    }
}

function getAnswer(entry: ClaimEntry | undefined, params: ClaimOrderParams): ClaimAnswer {
    if (entry === undefined || (params.claimId !== undefined && entry.claimId === params.claimId)) {
        return { state: ClaimState.Granted };
    }
    const { memberId, incarnation } = entry;
    return { state: ClaimState.Taken, holder: { memberId, incarnation } };
}

function refuseAll(batch: readonly PendingClaim[]): void {
    for (const { resolve } of batch) {
        resolve({ state: ClaimState.Unavailable });
    }
}
