import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { HostChecker } from "./HostChecker.js";
import type { HostReports } from "./HostReports.js";
import type { ReplicaFreshness } from "./ReplicaFreshness.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import type { ReplicaTree } from "./ReplicaTree.js";
import { SourceSearch } from "./SourceSearch.js";

/** How long a source may wait for something new, in milliseconds. */
const PULL_WAIT_MS = 600;
/** How long a source's answer may take beyond that, in milliseconds; a configuration for all its children takes a third. */
const PULL_GRACE_MS = 600;
/** A source that is later than this beyond its wait is looked for another one, in milliseconds. */
const LATE_MS = 150;
/** How long another host may take that is asked without a wait, in milliseconds. */
const SEARCH_TIMEOUT_MS = 600;
/** A copy older than this doesn't help, in milliseconds. */
const HELP_AGE_MS = 1_080;
/** Between two calls to a source at least, so that changes in quick succession share an answer. */
const BATCH_MS = 100;
/** Pause while there is no source, in milliseconds. */
const NO_SOURCE_MS = 200;
/** A source that has failed is left out for this long, in milliseconds. */
const FAILED_MS = 4_000;
/** One that takes its copy from this host is left out for this long, in milliseconds. */
const CIRCLE_MS = 2_000;
/** Pause before news of other hosts are sent up, in milliseconds. */
const REPORT_PAUSE_MS = 200;
/** A host that was found by a search stays the source for this long, in milliseconds. */
const FOUND_MS = 3_000;

/** Hosts of a path that are told. */
const MAX_PATH = 8;

/** Why a host takes its copy from another source now. */
enum SourceReason {
    Order = "order",
    Failed = "failed",
    Found = "found",
}

/** Takes changes from other hosts: from its source in the tree, and from any that helps while that one doesn't. */
export class SourcePuller {
    readonly #options: ReplicaSynchronizerOptions;
    readonly #age: ReplicaFreshness;
    readonly #reports: HostReports;
    readonly #checker: HostChecker;
    readonly #getTree: () => ReplicaTree;
    readonly #search: SourceSearch;
    readonly #failedUntil = new Map<string, number>();
    #helpTime = Number.NEGATIVE_INFINITY;
    #source: Member | undefined;
    /** The hosts beyond the source from which it takes its copy. */
    #sourcePath: readonly string[] = [];
    #found: { readonly member: Member; readonly until: number; } | undefined;
    #isReportDue = false;
    #interrupt = (): void => {};

    /**
     * @param options - What the keeper works with.
     * @param age - When the copy was current.
     * @param reports - Which hosts answer.
     * @param checker - Finds out which hosts answer.
     * @param getTree - Gets the order in which hosts take their copies from one another.
     */
    constructor(
        options: ReplicaSynchronizerOptions,
        age: ReplicaFreshness,
        reports: HostReports,
        checker: HostChecker,
        getTree: () => ReplicaTree,
    ) {
        this.#options = options;
        this.#age = age;
        this.#reports = reports;
        this.#checker = checker;
        this.#getTree = getTree;
        this.#search = new SourceSearch(options.clock, options.self);
    }

    /** Gets the hosts from which this one takes its copy, the nearest first. */
    getPath(): readonly string[] {
        return this.#source === undefined ? [] : [this.#source.id, ...this.#sourcePath].slice(0, MAX_PATH);
    }

    /**
     * Runs until the signal is aborted.
     * @param signal - Ends it.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        this.#helpTime = clock.getTime();
        while (!signal.aborted) {
            const start = clock.getTime();
            const source = this.#selectSource();
            if (source === undefined) {
                await clock.wait(NO_SOURCE_MS, signal).catch(() => undefined);
                continue;
            }
            this.#recordSource(source);
            const interrupted = new Promise<void>(resolve => this.#interrupt = resolve);
            await Promise.race([this.#sendPull(source, PULL_WAIT_MS, PULL_GRACE_MS, signal), interrupted]);
            const pauseMs = start + BATCH_MS - clock.getTime();
            await clock.wait(Math.max(0, pauseMs), signal).catch(() => undefined);
        }
    }

    /**
     * Looks for another host while the source doesn't help.
     * @param signal - Ends what runs.
     */
    check(signal: AbortSignal): void {
        if (this.#isHelped()) {
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
     * Tells the source soon what is new of the hosts that don't answer; news in quick succession share a call.
     * @param signal - Ends it.
     */
    sendReports(signal: AbortSignal): void {
        if (!this.#isReportDue) {
            this.#isReportDue = true;
            void this.#runReport(signal);
        }
    }

    async #runReport(signal: AbortSignal): Promise<void> {
        await this.#options.clock.wait(REPORT_PAUSE_MS, signal).catch(() => undefined);
        this.#isReportDue = false;
        if (!signal.aborted && this.#source !== undefined && !this.#hasFailed(this.#source)) {
            await this.#sendPull(this.#source, 0, SEARCH_TIMEOUT_MS, signal);
        }
    }

    #isHelped(): boolean {
        const now = this.#options.clock.getTime();
        return this.#age.getAge() < HELP_AGE_MS && now - this.#helpTime < PULL_WAIT_MS + LATE_MS;
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
        const before = this.#source;
        this.#source = source;
        this.#sourcePath = before?.id === source.id ? this.#sourcePath : [];
        if (before === undefined || before.id === source.id) {
            return;
        }
        const reason = this.#found !== undefined
            ? SourceReason.Found
            : this.#hasFailed(before)
            ? SourceReason.Failed
            : SourceReason.Order;
        const { decisions, self } = this.#options;
        decisions.record({
            decision: Decision.DependencyChanged,
            reason: "source-changed",
            member: self.id,
            figures: { old: before.id, new: source.id, why: reason },
        });
    }

    async #runSearchPull(member: Member, signal: AbortSignal): Promise<void> {
        const isHelpful = await this.#sendPull(member, 0, SEARCH_TIMEOUT_MS, signal);
        if (isHelpful && this.#search.isRunning()) {
            this.#search.stop();
            this.#found = { member, until: this.#options.clock.getTime() + FOUND_MS };
            this.#interrupt();
        }
    }

    /** Asks one host; returns whether it had a copy that is current. */
    async #sendPull(member: Member, waitMs: number, graceMs: number, signal: AbortSignal): Promise<boolean> {
        const { clock, replica, self, transport } = this.#options;
        const sent = clock.getTime();
        const params = {
            sender: self.id,
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
            const confirmedTime = sent + (result.confirmedMs ?? Number.NEGATIVE_INFINITY);
            this.#age.recordConfirmation(confirmedTime, sent + (result.regainedMs ?? Number.NEGATIVE_INFINITY));
            if (result.parts !== undefined) {
                replica.applySnapshot(result.parts);
            }
            else {
                replica.applyEvents(result.events, result.revision, result.jumps);
            }
            return this.#recordHelp(member, result.path, confirmedTime);
        }
        catch {
            if (!signal.aborted) {
                this.#failedUntil.set(member.id, clock.getTime() + FAILED_MS);
                this.#checker.recordFailure(member);
            }
            return false;
        }
    }

    /** A host that takes its copy from this one is no help. */
    #recordHelp(member: Member, path: readonly string[], confirmedTime: number): boolean {
        const { clock, self } = this.#options;
        const now = clock.getTime();
        const isCircle = path.includes(self.id);
        if (isCircle) {
            this.#failedUntil.set(member.id, now + CIRCLE_MS);
        }
        if (member.id === this.#source?.id) {
            this.#sourcePath = path;
        }
        const isHelpful = !isCircle && now - confirmedTime < HELP_AGE_MS;
        this.#helpTime = isHelpful ? now : this.#helpTime;
        return isHelpful;
    }
}
