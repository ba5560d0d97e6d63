import { Decision } from "../logging/index.js";
import type { ReplicaFreshness } from "./ReplicaFreshness.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import type { ReplicaTree } from "./ReplicaTree.js";
import { WatchResultKind } from "./WatchResultKind.js";

/** Time for hosts that start together to register, so that the order in which they watch is the same everywhere. */
const SETTLE_MS = 1_500;
/** Time for a host that has settled to get its first changes from its source, in milliseconds. */
const FIRST_PULL_MS = 700;
/** How long a watch waits for changes, so that a watcher knows at least this often that it reaches the store. */
const WATCH_WAIT_MS = 1_000;
/** How long a watch waits that only asks what is new, in milliseconds. */
const ASK_WAIT_MS = 1;
/** A watcher that was answered within this span is served, in milliseconds. */
const SERVED_MS = 1_400;
/** Pause after changes, so that those that come in quick succession share a call. */
const BATCH_MS = 130;
/** Pause after a watch that failed; doubles with each further one. */
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 1_000;
/** Age at which a host asks the store itself, in milliseconds. */
const ASK_AGE_MS = 1_150;
/** Later by this for each level of the tree, so that those above can pass on what they were told, in milliseconds. */
const LEVEL_DELAY_MS = 80;
const MAX_LEVELS = 2;
/** Hosts of one level spread over this time, in milliseconds. */
const SPREAD_MS = 100;
/** Pause between two questions to the store; doubles after a failure. */
const ASK_PAUSE_MS = 700;
const MAX_ASK_PAUSE_MS = 1_400;

/** Reads the store for this host: as a watcher if it is the first of its zone, else only when its copy is old. */
export class StoreReader {
    readonly #options: ReplicaSynchronizerOptions;
    readonly #age: ReplicaFreshness;
    readonly #getTree: () => ReplicaTree;
    #startTime = Number.NEGATIVE_INFINITY;
    #nextTime = Number.NEGATIVE_INFINITY;
    #readTime = Number.NEGATIVE_INFINITY;
    #retryMs = FIRST_RETRY_MS;
    #askPauseMs = ASK_PAUSE_MS;
    #delayMs = 0;
    #isBusy = false;
    #question: Promise<void> | undefined;
    #nextQuestionTime = Number.NEGATIVE_INFINITY;

    /**
     * @param options - What the keeper works with.
     * @param age - When the copy was current.
     * @param getTree - Gets the order in which hosts take their copies from one another.
     */
    constructor(options: ReplicaSynchronizerOptions, age: ReplicaFreshness, getTree: () => ReplicaTree) {
        this.#options = options;
        this.#age = age;
        this.#getTree = getTree;
    }

    /** Starts anew. */
    start(): void {
        this.#startTime = this.#options.clock.getTime();
        this.#nextTime = Number.NEGATIVE_INFINITY;
        this.#delayMs = this.#createDelay();
    }

    /** Whether the hosts that have started together know their order. */
    hasSettled(): boolean {
        return this.#getRunTime() >= SETTLE_MS;
    }

    /** Whether this host's source has had the time to help for the first time. */
    hasStarted(): boolean {
        return this.#getRunTime() >= SETTLE_MS + FIRST_PULL_MS;
    }

    /** Whether this host watches the store and has been answered lately. */
    isWatchAnswered(): boolean {
        return this.#isWatching() && this.#options.clock.getTime() - this.#readTime < SERVED_MS;
    }

    /**
     * Reads the store if it is this host's turn.
     * @param signal - Ends what runs.
     */
    check(signal: AbortSignal): void {
        if (!this.#isBusy && this.#isDue()) {
            this.#isBusy = true;
            void this.#run(signal).finally(() => this.#isBusy = false);
        }
    }

    /**
     * Asks the store once for what is new; one question serves all that ask meanwhile. After a failure the store is left alone for a
     * while.
     * @param signal - Ends it.
     */
    async readNow(signal: AbortSignal): Promise<void> {
        const { clock, replica } = this.#options;
        if (replica.getRevision() === 0 || clock.getTime() < this.#nextQuestionTime) {
            return;
        }
        this.#question ??= this.#runQuestion(signal).finally(() => this.#question = undefined);
        await this.#question;
    }

    async #runQuestion(signal: AbortSignal): Promise<void> {
        try {
            await this.#read(signal, false);
        }
        catch (error) {
            this.#nextQuestionTime = this.#options.clock.getTime() + MAX_RETRY_MS;
            this.#record(error);
        }
    }

    #isDue(): boolean {
        const { clock, replica } = this.#options;
        return clock.getTime() >= this.#nextTime &&
            (replica.getRevision() === 0 || this.#isWatching() || this.#isAsking());
    }

    #isWatching(): boolean {
        return this.hasSettled() && this.#getTree().isFirstInZone();
    }

    #isAsking(): boolean {
        return this.#getRunTime() >= SETTLE_MS + FIRST_PULL_MS + this.#delayMs &&
            this.#age.getAge() > ASK_AGE_MS + this.#delayMs;
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
        while (!signal.aborted && this.#isWatching());
    }

    /** Reads once; returns how long to pause, in milliseconds. */
    async #runOnce(signal: AbortSignal): Promise<number> {
        const isWatching = this.#isWatching();
        const isFirstReading = this.#options.replica.getRevision() === 0;
        try {
            const isChanged = await this.#read(signal, isWatching);
            this.#readTime = this.#options.clock.getTime();
            this.#retryMs = FIRST_RETRY_MS;
            this.#askPauseMs = ASK_PAUSE_MS;
            this.#delayMs = this.#createDelay();
            return isFirstReading ? 0 : isWatching ? (isChanged ? BATCH_MS : 0) : this.#askPauseMs;
        }
        catch (error) {
            this.#record(error);
            return isWatching || isFirstReading ? this.#getNextRetry() : this.#getNextAskPause();
        }
    }

    async #read(signal: AbortSignal, isWatching: boolean): Promise<boolean> {
        const { replica, store: source, clock } = this.#options;
        const start = clock.getTime();
        const revision = replica.getRevision();
        if (revision === 0) {
            replica.applySnapshot(await source.readAll(true));
            return false;
        }
        const isFirst = this.#age.getConfirmedTime() === Number.NEGATIVE_INFINITY;
        const waitMs = isWatching && !isFirst ? WATCH_WAIT_MS : ASK_WAIT_MS;
        const result = await source.watch(revision, waitMs);
        if (signal.aborted) {
            return false;
        }
        switch (result.kind) {
            case WatchResultKind.Events:
                // Only a wait that nothing has ended tells more than the state at its beginning.
                this.#age.recordConfirmation(
                    result.revision > revision ? start : Math.min(start + waitMs, clock.getTime()),
                );
                replica.applyEvents(result.events, result.revision);
                break;
            case WatchResultKind.HistoryLost: {
                const parts = await source.readAll(false);
                this.#age.recordConfirmation(start);
                replica.applySnapshot(parts);
                break;
            }
        }
        return replica.getRevision() > revision;
    }

    #getNextRetry(): number {
        const pauseMs = this.#retryMs;
        this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs);
        return pauseMs;
    }

    #getNextAskPause(): number {
        const pauseMs = this.#askPauseMs;
        this.#askPauseMs = Math.min(MAX_ASK_PAUSE_MS, 2 * this.#askPauseMs);
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
                revision: replica.getRevision(),
                ageMs: Math.round(Math.min(this.#age.getAge(), 1e9)),
                error: error instanceof Error ? error.message : String(error),
            },
        });
    }
}
