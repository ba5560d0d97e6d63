import type { HeadStore } from "../head/index.js";
import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import type { HeadTracker } from "./HeadTracker.js";

const WATCH_MS = 500;
const RETRY_MS = 500;
const IDLE_MS = 250;

/** Watches the head in the store while it is this host's turn. */
export class StoreWatch {
    readonly #clock: Clock;
    readonly #headStore: HeadStore;
    readonly #tracker: HeadTracker;
    readonly #evidence: ContactTimes;
    readonly #isTurn: () => boolean;
    #isEmpty = false;

    /**
     * @param clock - The source of time.
     * @param headStore - The head in the store.
     * @param tracker - Installs heads.
     * @param evidence - Takes the store's confirmations.
     * @param isTurn - Whether this host should watch now.
     */
    constructor(
        clock: Clock,
        headStore: HeadStore,
        tracker: HeadTracker,
        evidence: ContactTimes,
        isTurn: () => boolean,
    ) {
        this.#clock = clock;
        this.#headStore = headStore;
        this.#tracker = tracker;
        this.#evidence = evidence;
        this.#isTurn = isTurn;
    }

    /** Whether the store answered that it holds no head. */
    isEmpty(): boolean {
        return this.#isEmpty;
    }

    /**
     * Watches until stopped.
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        let revision = 0;
        while (!signal.aborted) {
            if (!this.#isTurn()) {
                await this.#clock.wait(IDLE_MS, signal);
                continue;
            }
            try {
                revision = await this.#watch(revision);
            }
            catch {
                await this.#clock.wait(RETRY_MS, signal);
            }
        }
    }

    async #watch(knownRevision: number): Promise<number> {
        const sentAt = this.#clock.getTime();
        const record = await this.#headStore.watch(knownRevision, WATCH_MS);
        this.#isEmpty = record === undefined;
        if (record === undefined) {
            await this.#clock.wait(IDLE_MS);
            return 0;
        }
        if (await this.#tracker.apply(record.head)) {
            this.#evidence.recordStoreConfirmation(sentAt);
            return record.revision;
        }
        await this.#clock.wait(RETRY_MS);
        return 0;
    }
}
