import { StoreUnavailableError } from "../errors/index.js";
import { Decision } from "../logging/index.js";
import type { ReplicaFreshness } from "./ReplicaFreshness.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import type { ReplicaTree } from "./ReplicaTree.js";
import { WatchResultKind } from "./WatchResultKind.js";

/** Time for hosts that start together to register, in milliseconds, so that all of them have the same rankings. */
const SETTLE_MS = 1_500;
/** Time after that in which a host gets its first changes from its source, in milliseconds. */
const FIRST_PULL_MS = 700;
/** How long a watch waits for changes, in milliseconds; also how often a watcher confirms at least that it reaches the store. */
const WATCH_WAIT_MS = 1_000;
/** How long a watch waits that only polls for changes, in milliseconds. */
const POLL_WAIT_MS = 1;
/** A watch counts as answered if the last answer is at most this old, in milliseconds. */
const WATCH_ANSWERED_MS = 1_400;
/** Pause after changes, in milliseconds, so that changes in quick succession share a call. */
const CHANGE_PAUSE_MS = 130;
/** Pause after a failed watch, in milliseconds; doubles with each further failure. */
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 1_000;
/** Age of the replica at which a host polls the store itself, in milliseconds. */
const POLL_AGE_MS = 1_150;
/** Added to that age for each level of the tree, in milliseconds, so that hosts further up can poll first and pass the changes on. */
const LEVEL_DELAY_MS = 80;
const MAX_LEVELS = 2;
/** The polls of hosts on one level are spread over this time, in milliseconds. */
const SPREAD_MS = 100;
/** Pause between two polls of the store, in milliseconds; doubles after a failure. */
const POLL_PAUSE_MS = 700;
const MAX_POLL_PAUSE_MS = 1_400;

/** Reads the store for this host: it watches the store if it is the first in its zone, else it polls when its replica is old. */
export class StoreReader {
    readonly #options: ReplicaSynchronizerOptions;
    readonly #freshness: ReplicaFreshness;
    readonly #getTree: () => ReplicaTree;
    #startTime = Number.NEGATIVE_INFINITY;
    #nextTime = Number.NEGATIVE_INFINITY;
    #readTime = Number.NEGATIVE_INFINITY;
    #retryMs = FIRST_RETRY_MS;
    #pollPauseMs = POLL_PAUSE_MS;
    #delayMs = 0;
    #isBusy = false;
    #sharedRead: Promise<void> | undefined;
    #nextSharedReadTime = Number.NEGATIVE_INFINITY;

    /**
     * @param options - Dependencies of the synchronizer.
     * @param freshness - When the replica was confirmed to be current.
     * @param getTree - Gets which host pulls from which.
     */
    constructor(options: ReplicaSynchronizerOptions, freshness: ReplicaFreshness, getTree: () => ReplicaTree) {
        this.#options = options;
        this.#freshness = freshness;
        this.#getTree = getTree;
    }

    /** Starts the reader, or restarts it with its initial state. */
    start(): void {
        this.#startTime = this.#options.clock.getTime();
        this.#nextTime = Number.NEGATIVE_INFINITY;
        this.#delayMs = this.#createDelay();
    }

    /** Whether this host is one of those that watch the store. */
    isWatching(): boolean {
        return this.hasSettled() && this.#getTree().isFirstInZone();
    }

    /** Whether hosts that started together have had the time to register. */
    hasSettled(): boolean {
        return this.#getRunTime() >= SETTLE_MS;
    }

    /** Whether this host has also had the time for a first pull from its source. */
    hasStarted(): boolean {
        return this.#getRunTime() >= SETTLE_MS + FIRST_PULL_MS;
    }

    /** Whether this host watches the store and was answered recently. */
    isWatchAnswered(): boolean {
        return this.isWatching() && this.#options.clock.getTime() - this.#readTime < WATCH_ANSWERED_MS;
    }

    /**
     * Starts to watch or poll the store if that is due.
     * @param signal - Stops running calls.
     */
    check(signal: AbortSignal): void {
        if (!this.#isBusy && this.#isDue()) {
            this.#isBusy = true;
            void this.#run(signal).finally(() => this.#isBusy = false);
        }
    }

    /**
     * Reads the changes from the store once; concurrent calls share one read. After a failure, calls return without a read for a short
     * time.
     * @param signal - Stops it.
     */
    async readNow(signal: AbortSignal): Promise<void> {
        const { clock, replica } = this.#options;
        if (replica.getRevision() === 0 || clock.getTime() < this.#nextSharedReadTime) {
            return;
        }
        this.#sharedRead ??= this.#runSharedRead(signal).finally(() => this.#sharedRead = undefined);
        await this.#sharedRead;
    }

    async #runSharedRead(signal: AbortSignal): Promise<void> {
        try {
            await this.#read(signal, false);
        }
        catch (error) {
            this.#nextSharedReadTime = this.#options.clock.getTime() + MAX_RETRY_MS;
            this.#record(error);
        }
    }

    #isDue(): boolean {
        const { clock, replica } = this.#options;
        return clock.getTime() >= this.#nextTime &&
            (replica.getRevision() === 0 || this.isWatching() || this.#isPollDue());
    }

    #isPollDue(): boolean {
        return this.#getRunTime() >= SETTLE_MS + FIRST_PULL_MS + this.#delayMs &&
            this.#freshness.getAge() > POLL_AGE_MS + this.#delayMs;
    }

    #getRunTime(): number {
        return this.#options.clock.getTime() - this.#startTime;
    }

    async #run(signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        do {
            const pauseMs = await this.#runOnce(signal);
            this.#nextTime = clock.getTime() + pauseMs;
            if (pauseMs > 0) {
                await clock.wait(pauseMs, signal).catch(() => undefined);
            }
        }
        while (!signal.aborted && this.isWatching());
    }

    /** Reads the store once; returns the pause before the next read, in milliseconds. */
    async #runOnce(signal: AbortSignal): Promise<number> {
        const isWatching = this.isWatching();
        const isFirstRead = this.#options.replica.getRevision() === 0;
        try {
            const isChanged = await this.#read(signal, isWatching);
            this.#readTime = this.#options.clock.getTime();
            this.#retryMs = FIRST_RETRY_MS;
            this.#pollPauseMs = POLL_PAUSE_MS;
            this.#delayMs = this.#createDelay();
            return isFirstRead ? 0 : isWatching ? (isChanged ? CHANGE_PAUSE_MS : 0) : this.#pollPauseMs;
        }
        catch (error) {
            this.#record(error);
            return isWatching || isFirstRead ? this.#getNextRetryPause() : this.#getNextPollPause();
        }
    }

    /** Reads the store once; returns whether that changed the replica. */
    async #read(signal: AbortSignal, isWatching: boolean): Promise<boolean> {
        const { replica, store, clock } = this.#options;
        const start = clock.getTime();
        const revision = replica.getRevision();
        if (revision === 0) {
            await this.#readAll(start);
            return false;
        }
        const epoch = replica.getEpoch();
        const isUnconfirmed = this.#freshness.getConfirmedTime() === Number.NEGATIVE_INFINITY;
        const waitMs = isWatching && !isUnconfirmed ? WATCH_WAIT_MS : POLL_WAIT_MS;
        const result = await store.watch(revision, waitMs);
        if (signal.aborted) {
            return false;
        }
        switch (result.kind) {
            case WatchResultKind.Events:
                if (result.epoch === replica.getEpoch() && epoch === result.epoch) {
                    // A watch without changes confirms the replica until the end of its wait, one with changes only at its start.
                    this.#freshness.recordConfirmation(
                        result.revision > revision ? start : Math.min(start + waitMs, clock.getTime()),
                    );
                    replica.applyEvents(result.events, result.revision);
                }
                else if (result.epoch > replica.getEpoch()) {
                    await this.#readAll(start);
                }
                break;
            case WatchResultKind.HistoryLost:
                await this.#readAll(start);
                if (replica.getRevision() === revision && replica.getEpoch() === epoch) {
                    throw new StoreUnavailableError(
                        "The store has neither the changes since the copy nor newer items.",
                    );
                }
                break;
        }
        return replica.getRevision() > revision || replica.getEpoch() > epoch;
    }

    async #readAll(start: number): Promise<void> {
        const { replica, store } = this.#options;
        const { epoch, parts } = await store.readAll();
        if (epoch >= replica.getEpoch()) {
            this.#freshness.recordConfirmation(start);
            replica.applySnapshot(parts, epoch);
        }
    }

    #getNextRetryPause(): number {
        const pauseMs = this.#retryMs;
        this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs);
        return pauseMs;
    }

    #getNextPollPause(): number {
        const pauseMs = this.#pollPauseMs;
        this.#pollPauseMs = Math.min(MAX_POLL_PAUSE_MS, 2 * this.#pollPauseMs);
        return pauseMs + this.#options.random.getNext() * SPREAD_MS;
    }

    #createDelay(): number {
        const levels = Math.min(MAX_LEVELS, this.#getTree().getDepth());
        return levels * LEVEL_DELAY_MS + this.#options.random.getNext() * SPREAD_MS;
    }

    #record(error: unknown): void {
        const { decisions, replica, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason: "store-call-failed",
            member: self.id,
            figures: {
                epoch: replica.getEpoch(),
                revision: replica.getRevision(),
                ageMs: Math.round(Math.min(this.#freshness.getAge(), 1e9)),
                error: error instanceof Error ? error.message : String(error),
            },
        });
    }
}
