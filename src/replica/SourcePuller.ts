import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { HostChecker } from "./HostChecker.js";
import type { HostReports } from "./HostReports.js";
import type { PullReplicaResult } from "./PullReplicaResult.js";
import type { ReplicaFreshness } from "./ReplicaFreshness.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import type { ReplicaTree } from "./ReplicaTree.js";
import { SourceSearch } from "./SourceSearch.js";

/** How long a source may wait for something new before it answers a pull, in milliseconds. */
const PULL_WAIT_MS = 600;
/** How much longer than its wait a source may take, in milliseconds; sending a configuration to all its children takes a third. */
const PULL_GRACE_MS = 600;
/** If an answer is later than the wait by more than this, the search for another source starts, in milliseconds. */
const LATE_MS = 150;
/** Timeout of a pull without a wait, in milliseconds. */
const SEARCH_TIMEOUT_MS = 600;
/** A pull from a replica older than this is not useful, in milliseconds. */
const MAX_USEFUL_AGE_MS = 1_080;
/** Shortest time between two pulls from the source, in milliseconds, so that changes in quick succession share one result. */
const MIN_PULL_INTERVAL_MS = 100;
/** Pause while there is no source, in milliseconds. */
const NO_SOURCE_PAUSE_MS = 200;
/** A host that did not answer a pull is excluded as a source for this long, in milliseconds. */
const FAILED_EXCLUSION_MS = 4_000;
/** A host that pulls from this one, directly or through others, is excluded as a source for this long, in milliseconds. */
const LOOP_EXCLUSION_MS = 2_000;
/** Time in which new reports are collected before they are sent to the source, in milliseconds. */
const REPORT_BATCH_MS = 200;
/** A host found by a search stays the source for this long, in milliseconds. */
const FOUND_SOURCE_MS = 3_000;

/** Most hosts of a path that are sent. */
const MAX_PATH_LENGTH = 8;

/** Why a host changed its source. */
enum SourceReason {
    /** The tree prefers another source. */
    Ranking = "order",
    /** The previous source did not answer or formed a loop. */
    Failed = "failed",
    /** A search found a useful source. */
    Found = "found",
}

/** Pulls changes from this host's source in the tree, and searches for another host while that source has no current replica. */
export class SourcePuller {
    readonly #options: ReplicaSynchronizerOptions;
    readonly #freshness: ReplicaFreshness;
    readonly #reports: HostReports;
    readonly #checker: HostChecker;
    readonly #getTree: () => ReplicaTree;
    readonly #search: SourceSearch;
    readonly #failedUntil = new Map<string, number>();
    #lastUsefulTime = Number.NEGATIVE_INFINITY;
    #source: Member | undefined;
    /** The chain of hosts from which the source pulls, the nearest first. */
    #sourcePath: readonly string[] = [];
    #found: { readonly member: Member; readonly until: number; } | undefined;
    #isReportDue = false;
    #interrupt = (): void => {};

    /**
     * @param options - Dependencies of the synchronizer.
     * @param freshness - When the replica was confirmed to be current.
     * @param reports - The reports of which hosts answer.
     * @param checker - Checks which hosts answer.
     * @param getTree - Gets which host pulls from which.
     */
    constructor(
        options: ReplicaSynchronizerOptions,
        freshness: ReplicaFreshness,
        reports: HostReports,
        checker: HostChecker,
        getTree: () => ReplicaTree,
    ) {
        this.#options = options;
        this.#freshness = freshness;
        this.#reports = reports;
        this.#checker = checker;
        this.#getTree = getTree;
        this.#search = new SourceSearch(options.clock, options.self);
    }

    /** Gets the chain of hosts from which this one pulls, the nearest first. */
    getPath(): readonly string[] {
        return this.#source === undefined ? [] : [this.#source.id, ...this.#sourcePath].slice(0, MAX_PATH_LENGTH);
    }

    /**
     * Runs until the signal is aborted.
     * @param signal - Stops it.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        this.#lastUsefulTime = clock.getTime();
        while (!signal.aborted) {
            const start = clock.getTime();
            const source = this.#selectSource();
            if (source === undefined) {
                await clock.wait(NO_SOURCE_PAUSE_MS, signal).catch(() => undefined);
                continue;
            }
            this.#recordSource(source);
            const interrupted = new Promise<void>(resolve => this.#interrupt = resolve);
            await Promise.race([this.#sendPull(source, PULL_WAIT_MS, PULL_GRACE_MS, signal), interrupted]);
            const pauseMs = start + MIN_PULL_INTERVAL_MS - clock.getTime();
            await clock.wait(Math.max(0, pauseMs), signal).catch(() => undefined);
        }
    }

    /**
     * Starts pulls from other hosts while the source does not keep the replica current.
     * @param signal - Stops running calls.
     */
    check(signal: AbortSignal): void {
        if (this.#isReceivingUpdates()) {
            this.#search.stop();
            return;
        }
        const tree = this.#getTree();
        const candidates = tree.getOthers().filter(member =>
            member.id !== this.#source?.id && !this.#reports.isSilent(member.id) && !this.#hasFailed(member)
        );
        this.#search.selectNext(candidates).forEach(member => void this.#runSearchPull(member, signal));
    }

    /**
     * Sends changed reports to the source after a short pause; changes within the pause share a call.
     * @param signal - Stops it.
     */
    sendReports(signal: AbortSignal): void {
        if (!this.#isReportDue) {
            this.#isReportDue = true;
            void this.#runReport(signal);
        }
    }

    async #runReport(signal: AbortSignal): Promise<void> {
        await this.#options.clock.wait(REPORT_BATCH_MS, signal).catch(() => undefined);
        this.#isReportDue = false;
        if (!signal.aborted && this.#source !== undefined && !this.#hasFailed(this.#source)) {
            await this.#sendPull(this.#source, 0, SEARCH_TIMEOUT_MS, signal);
        }
    }

    #isReceivingUpdates(): boolean {
        const now = this.#options.clock.getTime();
        return this.#freshness.getAge() < MAX_USEFUL_AGE_MS && now - this.#lastUsefulTime < PULL_WAIT_MS + LATE_MS;
    }

    #selectSource(): Member | undefined {
        const now = this.#options.clock.getTime();
        if (this.#found !== undefined && now < this.#found.until && !this.#hasFailed(this.#found.member)) {
            return this.#found.member;
        }
        this.#found = undefined;
        return this.#getTree().getSources().find(member => !this.#hasFailed(member));
    }

    #hasFailed(member: Member): boolean {
        return (this.#failedUntil.get(member.id) ?? Number.NEGATIVE_INFINITY) > this.#options.clock.getTime();
    }

    #recordSource(source: Member): void {
        const previous = this.#source;
        this.#source = source;
        this.#sourcePath = previous?.id === source.id ? this.#sourcePath : [];
        if (previous === undefined || previous.id === source.id) {
            return;
        }
        const reason = this.#found !== undefined
            ? SourceReason.Found
            : this.#hasFailed(previous)
            ? SourceReason.Failed
            : SourceReason.Ranking;
        const { decisions, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason: "source-changed",
            member: self.id,
            figures: { old: previous.id, new: source.id, why: reason },
        });
    }

    async #runSearchPull(member: Member, signal: AbortSignal): Promise<void> {
        const isUseful = await this.#sendPull(member, 0, SEARCH_TIMEOUT_MS, signal);
        if (isUseful && this.#search.isRunning()) {
            this.#search.stop();
            this.#found = { member, until: this.#options.clock.getTime() + FOUND_SOURCE_MS };
            this.#interrupt();
        }
    }

    /** Pulls from one host; returns whether that was useful. */
    async #sendPull(member: Member, waitMs: number, graceMs: number, signal: AbortSignal): Promise<boolean> {
        const { clock, replica, self, transport } = this.#options;
        const sent = clock.getTime();
        const params = {
            sender: self.id,
            epoch: replica.getEpoch(),
            revision: replica.getRevision(),
            waitMs,
            reports: this.#reports.createReports(sent),
        };
        try {
            const result = await transport.send(member.peerAddress, PeerMethod.PullReplica, params, waitMs + graceMs);
            if (signal.aborted) {
                return false;
            }
            this.#checker.recordContact(member.id);
            this.#reports.merge(result.reports, sent);
            const confirmedTime = this.#applyResult(result, sent);
            return this.#recordResult(member, result.path, confirmedTime);
        }
        catch {
            if (!signal.aborted) {
                this.#failedUntil.set(member.id, clock.getTime() + FAILED_EXCLUSION_MS);
                this.#checker.recordFailure(member);
            }
            return false;
        }
    }

    /** Applies a result unless it is of an earlier epoch; returns when the source's replica was confirmed, in milliseconds of the clock. */
    #applyResult(
        { epoch, revision, events, jumps, parts, confirmedMs, regainedMs }: PullReplicaResult,
        sent: number,
    ): number {
        const { replica } = this.#options;
        const isComparable = epoch === replica.getEpoch() || (epoch > replica.getEpoch() && parts !== undefined);
        if (!isComparable) {
            return Number.NEGATIVE_INFINITY;
        }
        const confirmedTime = sent + (confirmedMs ?? Number.NEGATIVE_INFINITY);
        this.#freshness.recordConfirmation(confirmedTime, sent + (regainedMs ?? Number.NEGATIVE_INFINITY));
        if (parts !== undefined) {
            replica.applySnapshot(parts, epoch);
        }
        else {
            replica.applyChanges(events, revision, jumps);
        }
        return confirmedTime;
    }

    /** Records the result of a pull; returns whether it was useful, which a host that pulls from this one is not. */
    #recordResult(member: Member, path: readonly string[], confirmedTime: number): boolean {
        const { clock, self } = this.#options;
        const now = clock.getTime();
        const isLoop = path.includes(self.id);
        if (isLoop) {
            this.#failedUntil.set(member.id, now + LOOP_EXCLUSION_MS);
        }
        if (member.id === this.#source?.id) {
            this.#sourcePath = path;
        }
        const isUseful = !isLoop && now - confirmedTime < MAX_USEFUL_AGE_MS;
        this.#lastUsefulTime = isUseful ? now : this.#lastUsefulTime;
        return isUseful;
    }
}
