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

/** How often a host looks whether its source helps, its copy is old or others are silent, in milliseconds. */
const CHECK_MS = 100;
/** A host that has heard no other for this long is isolated, in milliseconds. */
const ISOLATED_MS = 2_500;

/** Keeps the replica current: takes changes from another host, or from the store if it is its turn. */
export class ReplicaSynchronizer implements Child {
    readonly name = "replica-keeper";
    readonly #options: ReplicaSynchronizerOptions;
    readonly #age: ReplicaFreshness;
    readonly #reports: HostReports;
    readonly #checker: HostChecker;
    readonly #answerer: PullHandler;
    readonly #puller: SourcePuller;
    readonly #reader: StoreReader;
    #orders: ReturnType<ReplicaSynchronizerOptions["getHostRankings"]> | undefined;
    #tree: ReplicaTree;
    #isInTouch = true;
    #startTime = Number.NEGATIVE_INFINITY;
    #controller = new AbortController();

    /** @param options - What the keeper works with. */
    constructor(options: ReplicaSynchronizerOptions) {
        this.#options = options;
        const { clock, handlers, replica, self } = options;
        const getTree = (): ReplicaTree => this.#getTree();
        this.#age = new ReplicaFreshness(clock);
        this.#reports = new HostReports(clock, self.id);
        this.#tree = this.#createTree([]);
        this.#checker = new HostChecker(options, this.#reports);
        this.#puller = new SourcePuller(options, this.#age, this.#reports, this.#checker, getTree);
        this.#reader = new StoreReader(options, this.#age, getTree);
        const getPath = (): readonly string[] => this.#reader.isWatchAnswered() ? [] : this.#puller.getPath();
        this.#answerer = new PullHandler(clock, replica, this.#age, this.#reports, getPath);
        this.#reports.addListener(() => this.#puller.sendReports(this.#controller.signal));
        handlers.add(PeerMethod.PullReplica, params => this.#runPull(params));
        handlers.add(PeerMethod.CheckHost, ({ sender }) => {
            this.#checker.recordContact(sender);
            return { id: self.id };
        });
    }

    /** Starts to keep the replica. */
    async start(): Promise<void> {
        this.#controller = new AbortController();
        const { signal } = this.#controller;
        this.#startTime = this.#options.clock.getTime();
        this.#reader.start();
        void this.#run(signal);
        void this.#puller.run(signal);
    }

    /** Stops; the replica stays as it is. */
    async stop(): Promise<void> {
        this.#controller.abort();
    }

    /** Gets how long ago the replica is known to have been current, in milliseconds. */
    getAge(): number {
        return this.#age.getAge();
    }

    /**
     * Asks the store whether the replica is current, unless that is known.
     * @param maxAgeMs - How long ago the replica may have been current, in milliseconds.
     * @returns Whether the replica is known to be as current as that.
     */
    async checkAge(maxAgeMs: number): Promise<boolean> {
        if (this.getAge() > maxAgeMs) {
            await this.#reader.readNow(this.#controller.signal);
        }
        return this.getAge() <= maxAgeMs;
    }

    /** Gets when touch with the store was regained last, in milliseconds of the clock; -Infinity if it was never lost. */
    getStoreRegainedTime(): number {
        return this.#age.getStoreRegainedTime();
    }

    /**
     * Whether the hosts that look after a member say that it doesn't answer them.
     * @param memberId - The member's id.
     */
    isUnreachable(memberId: string): boolean {
        return this.#reports.isSilent(memberId);
    }

    /** Whether no other host has called or answered lately. A host that has just started is not isolated. */
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
            this.#checkTouch();
            await this.#options.clock.wait(CHECK_MS, signal).catch(() => undefined);
        }
    }

    async #runPull(params: PullReplicaParams): Promise<PullReplicaResult> {
        this.#checker.recordContact(params.sender);
        this.#reports.merge(params.reports, this.#options.clock.getTime());
        return await this.#answerer.run(params);
    }

    #getTree(): ReplicaTree {
        const orders = this.#options.getHostRankings();
        if (orders !== this.#orders) {
            this.#orders = orders;
            this.#tree = this.#createTree(orders);
        }
        return this.#tree;
    }

    #createTree(orders: ReturnType<ReplicaSynchronizerOptions["getHostRankings"]>): ReplicaTree {
        return new ReplicaTree(orders, this.#options.self, id => this.#reports.isSilent(id));
    }

    #checkTouch(): void {
        const isInTouch = this.#age.hasStoreContact();
        if (isInTouch !== this.#isInTouch) {
            this.#isInTouch = isInTouch;
            this.#record(isInTouch ? "store-regained" : "store-lost");
        }
    }

    #record(reason: string): void {
        const { decisions, replica, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason,
            member: self.id,
            figures: { revision: replica.getRevision(), ageMs: Math.round(Math.min(this.getAge(), 1e9)) },
        });
    }
}
