import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { Child } from "../supervision/index.js";
import { HostChecker } from "./HostChecker.js";
import { HostReports } from "./HostReports.js";
import { PullHandler } from "./PullHandler.js";
import type { PullReplicaParams } from "./PullReplicaParams.js";
import type { PullReplicaResult } from "./PullReplicaResult.js";
import { ReplicaFreshness } from "./ReplicaFreshness.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import { ReplicaTree } from "./ReplicaTree.js";
import { SourcePuller } from "./SourcePuller.js";
import { StoreReader } from "./StoreReader.js";

/** How often a host checks its source, the age of its replica and silent hosts, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** A host without contact to any other host for this long is isolated, in milliseconds. */
const ISOLATED_MS = 2_500;

/** Keeps the replica current: pulls changes from another host, or watches the store if this host is the first in its zone. */
export class ReplicaSynchronizer implements Child {
    readonly name = "replica-keeper";
    readonly #options: ReplicaSynchronizerOptions;
    readonly #freshness: ReplicaFreshness;
    readonly #reports: HostReports;
    readonly #checker: HostChecker;
    readonly #pullHandler: PullHandler;
    readonly #puller: SourcePuller;
    readonly #reader: StoreReader;
    /** The rankings from which the tree was created. */
    #rankings: ReturnType<ReplicaSynchronizerOptions["getHostRankings"]> | undefined;
    #tree: ReplicaTree;
    #hadStoreContact = true;
    #startTime = Number.NEGATIVE_INFINITY;
    #controller = new AbortController();

    /** @param options - Dependencies of the synchronizer. */
    constructor(options: ReplicaSynchronizerOptions) {
        this.#options = options;
        const { clock, handlers, replica, self } = options;
        const getTree = (): ReplicaTree => this.#getTree();
        this.#freshness = new ReplicaFreshness(clock);
        this.#reports = new HostReports(clock, self.id);
        this.#tree = this.#createTree([]);
        this.#checker = new HostChecker(options, this.#reports);
        this.#puller = new SourcePuller(options, this.#freshness, this.#reports, this.#checker, getTree);
        this.#reader = new StoreReader(options, this.#freshness, getTree);
        const getPath = (): readonly string[] => this.#reader.isWatchAnswered() ? [] : this.#puller.getPath();
        this.#pullHandler = new PullHandler(clock, replica, this.#freshness, this.#reports, getPath);
        this.#reports.addListener(() => this.#puller.sendReports(this.#controller.signal));
        handlers.add(PeerMethod.PullReplica, params => this.#runPull(params));
        handlers.add(PeerMethod.CheckHost, ({ sender }) => {
            this.#checker.recordContact(sender);
            return { id: self.id };
        });
    }

    /** Starts to keep the replica current. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        const { signal } = this.#controller;
        this.#startTime = this.#options.clock.getTime();
        this.#reader.start();
        void this.#run(signal);
        void this.#puller.run(signal);
    }

    /** Stops; the replica keeps its items. */
    async stop(): Promise<void> {
        this.#controller.abort();
    }

    /** Gets the time since the replica was last confirmed to be current, in milliseconds. */
    getAge(): number {
        return this.#freshness.getAge();
    }

    /**
     * Adds a listener that runs after each new confirmation that the replica is current.
     * @param listener - The listener.
     */
    addConfirmationListener(listener: () => void): void {
        this.#freshness.addListener(listener);
    }

    /**
     * Reads the changes from the store unless the replica was confirmed recently enough.
     * @param maxAgeMs - The longest time since the last confirmation, in milliseconds.
     * @returns Whether the replica was confirmed within that time.
     */
    async checkAge(maxAgeMs: number): Promise<boolean> {
        if (this.getAge() > maxAgeMs) {
            await this.#reader.readNow(this.#controller.signal);
        }
        return this.getAge() <= maxAgeMs;
    }

    /** Gets when contact with the store was last regained after a loss, in milliseconds of the clock; -Infinity if it was never lost. */
    getStoreRegainedTime(): number {
        return this.#freshness.getStoreRegainedTime();
    }

    /** Whether this host is one of those that watch the store. */
    isWatching(): boolean {
        return this.#reader.isWatching();
    }

    /**
     * Whether a member is reported as not answering other hosts.
     * @param memberId - The member's id.
     */
    isUnreachable(memberId: string): boolean {
        return this.#reports.isSilent(memberId);
    }

    /** Whether this host recently had no contact with any other host. A host that has just started is not isolated. */
    isIsolated(): boolean {
        const now = this.#options.clock.getTime();
        return now - this.#startTime > ISOLATED_MS && now - this.#checker.getLastContactTime() > ISOLATED_MS;
    }

    async #run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.#reader.check(signal);
            if (this.#reader.hasStarted()) {
                this.#puller.check(signal);
                this.#checker.check(this.#getTree());
            }
            this.#checkStoreContact();
            await this.#options.clock.wait(CHECK_INTERVAL_MS, signal).catch(() => undefined);
        }
    }

    async #runPull(params: PullReplicaParams): Promise<PullReplicaResult> {
        this.#checker.recordContact(params.sender);
        this.#reports.merge(params.reports, this.#options.clock.getTime());
        return await this.#pullHandler.run(params);
    }

    #getTree(): ReplicaTree {
        const rankings = this.#options.getHostRankings();
        if (rankings !== this.#rankings) {
            this.#rankings = rankings;
            this.#tree = this.#createTree(rankings);
        }
        return this.#tree;
    }

    #createTree(rankings: ReturnType<ReplicaSynchronizerOptions["getHostRankings"]>): ReplicaTree {
        return new ReplicaTree(rankings, this.#options.self, id => this.#reports.isSilent(id));
    }

    #checkStoreContact(): void {
        const hasStoreContact = this.#freshness.hasStoreContact();
        if (hasStoreContact !== this.#hadStoreContact) {
            this.#hadStoreContact = hasStoreContact;
            this.#record(hasStoreContact ? "store-regained" : "store-lost");
        }
    }

    #record(reason: string): void {
        const { decisions, replica, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason,
            member: self.id,
            figures: {
                epoch: replica.getEpoch(),
                revision: replica.getRevision(),
                ageMs: Math.round(Math.min(this.getAge(), 1e9)),
            },
        });
    }
}
