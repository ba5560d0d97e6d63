import type { Clock } from "../time/index.js";
import { createSnapshot } from "./createSnapshot.js";
import type { HostReports } from "./HostReports.js";
import type { PullReplicaParams } from "./PullReplicaParams.js";
import type { PullReplicaResult } from "./PullReplicaResult.js";
import type { Replica } from "./Replica.js";
import type { ReplicaFreshness } from "./ReplicaFreshness.js";

/** A confirmation that is newer by at least this ends the wait of a call, in milliseconds. */
const CONFIRMATION_STEP_MS = 450;
/** Most hosts for which the version of the reports sent last is kept. */
const MAX_TRACKED_SENDERS = 2_000;

/** Handles the pull calls of other hosts: a long poll that returns as soon as there is something new. */
export class PullHandler {
    readonly #clock: Clock;
    readonly #replica: Replica;
    readonly #freshness: ReplicaFreshness;
    readonly #reports: HostReports;
    readonly #getPath: () => readonly string[];
    readonly #waiting = new Set<() => void>();
    /** The version of the reports that was last sent to each host, by member id. */
    readonly #sentReportVersions = new Map<string, number>();

    /**
     * @param clock - The source of time.
     * @param replica - The replica.
     * @param freshness - When the replica was confirmed to be current.
     * @param reports - The reports of which hosts answer.
     * @param getPath - Gets the chain of hosts from which this one pulls, the nearest first.
     */
    constructor(
        clock: Clock,
        replica: Replica,
        freshness: ReplicaFreshness,
        reports: HostReports,
        getPath: () => readonly string[],
    ) {
        this.#getPath = getPath;
        this.#clock = clock;
        this.#replica = replica;
        this.#freshness = freshness;
        this.#reports = reports;
        const publishChange = (): void => this.#waiting.forEach(resolve => resolve());
        replica.addListener(publishChange);
        freshness.addListener(publishChange);
        reports.addListener(publishChange);
    }

    /**
     * Runs a pull call; the result comes as soon as there is something new, or when the call's wait ends.
     * @param params - The call.
     */
    async run(params: PullReplicaParams): Promise<PullReplicaResult> {
        const arrival = this.#clock.getTime();
        const end = arrival + params.waitMs;
        const confirmedTime = this.#freshness.getConfirmedTime();
        while (!this.#isDue(params, confirmedTime) && this.#clock.getTime() < end) {
            await this.#waitForNotification(end - this.#clock.getTime());
        }
        return this.#createResult(params, arrival);
    }

    #isDue(params: PullReplicaParams, confirmedTime: number): boolean {
        const epoch = this.#replica.getEpoch();
        return params.epoch < epoch || (params.epoch === epoch && this.#replica.hasChanges(params.revision)) ||
            this.#freshness.getConfirmedTime() - confirmedTime >= CONFIRMATION_STEP_MS ||
            this.#sentReportVersions.get(params.sender) !== this.#reports.getVersion();
    }

    async #waitForNotification(durationMs: number): Promise<void> {
        let stop = (): void => {};
        await new Promise<void>(resolve => {
            const timer = this.#clock.schedule(durationMs, resolve);
            stop = () => {
                timer.cancel();
                resolve();
            };
            this.#waiting.add(stop);
        });
        this.#waiting.delete(stop);
    }

    #createResult(params: PullReplicaParams, arrival: number): PullReplicaResult {
        if (this.#sentReportVersions.size >= MAX_TRACKED_SENDERS) {
            this.#sentReportVersions.clear();
        }
        this.#sentReportVersions.set(params.sender, this.#reports.getVersion());
        const epoch = this.#replica.getEpoch();
        const events = params.epoch === epoch ? this.#replica.findChanges(params.revision) : undefined;
        const needsSnapshot = params.epoch <= epoch && events === undefined;
        const confirmedMs = this.#freshness.getConfirmedTime() - arrival;
        const regainedMs = this.#freshness.getStoreRegainedTime() - arrival;
        return {
            epoch,
            revision: this.#replica.getRevision(),
            events: events ?? [],
            jumps: this.#replica.findGaps(params.revision),
            ...(needsSnapshot ? { parts: createSnapshot(this.#replica) } : {}),
            ...(Number.isFinite(confirmedMs) ? { confirmedMs } : {}),
            ...(Number.isFinite(regainedMs) ? { regainedMs } : {}),
            path: this.#getPath(),
            reports: this.#reports.createReports(arrival),
        };
    }
}
