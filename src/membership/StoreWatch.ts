import type { HeadStore } from "../head/index.js";
import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import type { HeadTracker } from "./HeadTracker.js";

const WATCH_WAIT_MS = 500;
const RETRY_INTERVAL_MS = 500;
const IDLE_INTERVAL_MS = 250;

/** Watches the head in the store while this host is one of the watchers. */
export class StoreWatch {
    readonly #clock: Clock;
    readonly #headStore: HeadStore;
    readonly #tracker: HeadTracker;
    readonly #contactTimes: ContactTimes;
    readonly #isWatcher: () => boolean;
    #isEmpty = false;

    /**
     * @param clock - The source of time.
     * @param headStore - Reads the head from the store.
     * @param tracker - Installs heads.
     * @param contactTimes - Receives the times of the store's confirmations.
     * @param isWatcher - Whether this host should watch at the moment.
     */
    constructor(
        clock: Clock,
        headStore: HeadStore,
        tracker: HeadTracker,
        contactTimes: ContactTimes,
        isWatcher: () => boolean,
    ) {
        this.#clock = clock;
        this.#headStore = headStore;
        this.#tracker = tracker;
        this.#contactTimes = contactTimes;
        this.#isWatcher = isWatcher;
    }

    /** Whether the store's last answer was that it holds no head. */
    isEmpty(): boolean {
        return this.#isEmpty;
    }

    /**
     * Watches until stopped.
     * @param signal - Stops the task when aborted.
     */
    async run(signal: AbortSignal): Promise<void> {
        let revision = 0;
        while (!signal.aborted) {
            if (!this.#isWatcher()) {
                await this.#clock.wait(IDLE_INTERVAL_MS, signal);
                continue;
            }
            try {
                revision = await this.#watch(revision);
            }
            catch {
                await this.#clock.wait(RETRY_INTERVAL_MS, signal);
            }
        }
    }

    async #watch(knownRevision: number): Promise<number> {
        const sentAt = this.#clock.getTime();
        const record = await this.#headStore.watch(knownRevision, WATCH_WAIT_MS);
        this.#isEmpty = record === undefined;
        if (record === undefined) {
            await this.#clock.wait(IDLE_INTERVAL_MS);
            return 0;
        }
        if (await this.#tracker.apply(record.head)) {
            this.#contactTimes.recordStoreConfirmation(sentAt);
            return record.revision;
        }
        await this.#clock.wait(RETRY_INTERVAL_MS);
        return 0;
    }
}
