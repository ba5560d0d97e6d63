import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { Child } from "../supervision/index.js";
import { PushPeers } from "./PushPeers.js";
import type { PushReplicaParams } from "./PushReplicaParams.js";
import type { PushReplicaResult } from "./PushReplicaResult.js";
import type { ReplicaKeeperOptions } from "./ReplicaKeeperOptions.js";
import { WatchDuty } from "./WatchDuty.js";
import type { WatcherReport } from "./WatcherReport.js";
import { WatchResultKind } from "./WatchResultKind.js";

/** Time for hosts that start together to register, so that the order in which they watch is the same everywhere. */
const SETTLE_MS = 1_500;
/** How long a watch waits for changes, so that a watcher knows at least this often that it reaches the store. */
const WATCH_WAIT_MS = 1_000;
/** The first watch only asks what is new since the first reading, which may be stale. */
const FIRST_WATCH_WAIT_MS = 1;
/** Pause after changes, so that those that come in quick succession share a call. */
const BATCH_MS = 60;
/** Pause after a call to the store that failed; doubles with each further one. */
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 1_000;
/** How often a host that doesn't watch looks whether it has to. */
const CHECK_MS = 250;
/** A copy older than this has lost touch with the store. */
const LOST_AGE_MS = 2_500;
/** A watcher's report counts for this long. */
const REPORT_SPAN_MS = 2_500;

/** Keeps the replica current: watches the store or takes what the hosts that watch it pass on. */
export class ReplicaKeeper implements Child {
    readonly name = "replica-keeper";
    readonly #options: ReplicaKeeperOptions;
    readonly #duty: WatchDuty;
    readonly #peers: PushPeers;
    readonly #reports = new Map<string, WatcherReport>();
    #confirmedTime = Number.NEGATIVE_INFINITY;
    #regainedTime = Number.NEGATIVE_INFINITY;
    #isInTouch = true;
    #confirmation: Promise<void> | undefined;
    /** The store is not asked for a confirmation before this time, in milliseconds of the clock. */
    #nextConfirmTime = Number.NEGATIVE_INFINITY;
    #retryMs = FIRST_RETRY_MS / 2;
    #startTime = Number.NEGATIVE_INFINITY;
    #controller = new AbortController();

    /** @param options - What the keeper works with. */
    constructor(options: ReplicaKeeperOptions) {
        this.#options = options;
        this.#duty = new WatchDuty(options.clock);
        this.#peers = new PushPeers(options, () => this.#createPush());
        options.handlers.add(PeerMethod.PushReplica, params => this.#receive(params));
    }

    /** Starts to keep the replica. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        this.#startTime = this.#options.clock.getTime();
        void this.#run(this.#controller.signal);
    }

    /** Stops; the replica stays as it is. */
    async stop(): Promise<void> {
        this.#controller.abort();
        this.#peers.stop();
    }

    /** Gets how long ago the replica is known to have been current, in milliseconds. */
    getAge(): number {
        return this.#options.clock.getTime() - this.#confirmedTime;
    }

    /**
     * Asks the store whether the replica is current, unless that is known; one question serves all that ask meanwhile.
     * @param maxAgeMs - How long ago the replica may have been current, in milliseconds.
     * @returns Whether the replica is known to be as current as that.
     */
    async checkAge(maxAgeMs: number): Promise<boolean> {
        const { clock, replica } = this.#options;
        if (this.getAge() > maxAgeMs && replica.getRevision() > 0 && clock.getTime() >= this.#nextConfirmTime) {
            this.#confirmation ??= this.#readChanges().finally(() => this.#confirmation = undefined);
            await this.#confirmation;
        }
        return this.getAge() <= maxAgeMs;
    }

    /** Gets when touch with the store was regained last, in milliseconds of the clock; -Infinity if it was never lost. */
    getRegainedTime(): number {
        return this.#regainedTime;
    }

    /**
     * Whether every watcher that was heard lately says that a member doesn't answer it.
     * @param memberId - The member's id.
     */
    isUnreachable(memberId: string): boolean {
        const now = this.#options.clock.getTime();
        const reports = [...this.#reports.values()].filter(report => now - report.time < REPORT_SPAN_MS);
        const views = this.#peers.isActive() ? [this.#peers.getUnreachable()] : [];
        const all = [...reports.map(report => report.unreachable), ...views];
        return all.length > 0 && all.every(unreachable => unreachable.has(memberId));
    }

    /**
     * Whether neither a watcher has been heard lately nor, as a watcher, any peer has answered. A host that has just started
     * is not isolated: the watchers reach it soon.
     */
    isIsolated(): boolean {
        const now = this.#options.clock.getTime();
        const isHeard = [...this.#reports.values()].some(report => now - report.time < REPORT_SPAN_MS);
        return this.#getRunTime() > REPORT_SPAN_MS && !isHeard && !this.#peers.isAnswered();
    }

    async #run(signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        while (!signal.aborted) {
            const pauseMs = this.#isWatching() ? await this.#runWatch(signal) : CHECK_MS;
            this.#checkTouch();
            await clock.wait(pauseMs, signal).catch(() => undefined);
        }
    }

    #isWatching(): boolean {
        if (this.#options.replica.getRevision() === 0) {
            return true;
        }
        if (this.#getRunTime() < SETTLE_MS) {
            return false;
        }
        if (this.#confirmedTime === Number.NEGATIVE_INFINITY) {
            return true;
        }
        const order = this.#options.getOrder();
        const rank = order.findIndex(member => member.id === this.#options.selfId);
        const isWatching = this.#duty.isWatching(rank < 0 ? order.length : rank, this.getAge());
        if (isWatching && rank >= 0) {
            this.#peers.start();
        }
        else {
            this.#peers.stop();
        }
        return isWatching;
    }

    #getRunTime(): number {
        return this.#options.clock.getTime() - this.#startTime;
    }

    /** Watches once; returns how long to pause, in milliseconds. */
    async #runWatch(signal: AbortSignal): Promise<number> {
        try {
            const isChanged = await this.#watch(signal);
            this.#retryMs = FIRST_RETRY_MS / 2;
            return isChanged ? BATCH_MS : 0;
        }
        catch (error) {
            this.#record("store-call-failed", { error: error instanceof Error ? error.message : String(error) });
            this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs);
            return this.#retryMs;
        }
    }

    async #readChanges(): Promise<void> {
        const { clock, replica, source } = this.#options;
        const start = clock.getTime();
        try {
            const result = await source.watch(replica.getRevision(), FIRST_WATCH_WAIT_MS);
            if (result.kind === WatchResultKind.Events) {
                this.#recordCurrent(start);
                replica.applyEvents(result.events, result.revision);
                return;
            }
            const parts = await source.readAll(false);
            this.#recordCurrent(start);
            replica.applyParts(parts);
        }
        catch (error) {
            this.#nextConfirmTime = clock.getTime() + MAX_RETRY_MS;
            this.#record("store-call-failed", { error: error instanceof Error ? error.message : String(error) });
        }
    }

    async #watch(signal: AbortSignal): Promise<boolean> {
        const { replica, source, clock } = this.#options;
        const start = clock.getTime();
        const revision = replica.getRevision();
        if (revision === 0) {
            replica.applyParts(await source.readAll(true));
            return false;
        }
        const isFirst = this.#confirmedTime === Number.NEGATIVE_INFINITY;
        const result = await source.watch(revision, isFirst ? FIRST_WATCH_WAIT_MS : WATCH_WAIT_MS);
        if (signal.aborted) {
            return false;
        }
        switch (result.kind) {
            case WatchResultKind.Events:
                this.#recordCurrent(clock.getTime());
                replica.applyEvents(result.events, result.revision);
                break;
            case WatchResultKind.HistoryLost: {
                const parts = await source.readAll(false);
                this.#recordCurrent(start);
                replica.applyParts(parts);
                break;
            }
        }
        this.#peers.send();
        return replica.getRevision() > revision;
    }

    #receive(params: PushReplicaParams): PushReplicaResult {
        const { clock, replica } = this.#options;
        const now = clock.getTime();
        this.#duty.recordHeard();
        this.#reports.set(params.sender, { time: now, unreachable: new Set(params.unreachable) });
        if (params.parts !== undefined) {
            this.#recordCurrent(now - params.ageMs);
            replica.applyParts(params.parts);
        }
        else if (params.from > 0 && replica.getRevision() >= params.from) {
            this.#recordCurrent(now - params.ageMs);
            replica.applyEvents(params.events, params.revision);
        }
        return { revision: replica.getRevision() };
    }

    #recordCurrent(time: number): void {
        const { clock } = this.#options;
        if (clock.getTime() - this.#confirmedTime > LOST_AGE_MS && clock.getTime() - time < LOST_AGE_MS) {
            this.#regainedTime = clock.getTime();
        }
        this.#confirmedTime = Math.max(this.#confirmedTime, time);
    }

    #checkTouch(): void {
        const isInTouch = this.getAge() < LOST_AGE_MS;
        if (isInTouch !== this.#isInTouch) {
            this.#isInTouch = isInTouch;
            this.#record(isInTouch ? "store-regained" : "store-lost", {});
        }
    }

    #createPush(): Omit<PushReplicaParams, "from" | "events" | "parts"> {
        return {
            sender: this.#options.selfId,
            revision: this.#options.replica.getRevision(),
            ageMs: Math.round(Math.min(this.getAge(), Number.MAX_SAFE_INTEGER)),
            unreachable: [...this.#peers.getUnreachable()],
        };
    }

    #record(reason: string, figures: Record<string, string | number>): void {
        const { decisions, replica, selfId } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason,
            member: selfId,
            figures: { revision: replica.getRevision(), ageMs: Math.round(Math.min(this.getAge(), 1e9)), ...figures },
        });
    }
}
