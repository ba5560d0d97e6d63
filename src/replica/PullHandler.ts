import type { Clock } from "../time/index.js";
import { createSnapshot } from "./createSnapshot.js";
import type { HostReports } from "./HostReports.js";
import type { PullReplicaParams } from "./PullReplicaParams.js";
import type { PullReplicaResult } from "./PullReplicaResult.js";
import type { Replica } from "./Replica.js";
import type { ReplicaFreshness } from "./ReplicaFreshness.js";

/** A confirmation of the copy that is newer by this is passed on without waiting for more, in milliseconds. */
const REFRESH_MS = 450;
/** Hosts of which it is kept what they were told. */
const MAX_TOLD = 2_000;

/** Answers other hosts' calls for changes as soon as there are any. */
export class PullHandler {
    readonly #clock: Clock;
    readonly #replica: Replica;
    readonly #age: ReplicaFreshness;
    readonly #reports: HostReports;
    readonly #getPath: () => readonly string[];
    readonly #waiting = new Set<() => void>();
    /** The version of the reports that each host was told last. */
    readonly #toldVersions = new Map<string, number>();

    /**
     * @param clock - The source of time.
     * @param replica - The copy.
     * @param age - When it was current.
     * @param reports - Which hosts answer.
     * @param getPath - Gets the hosts from which this one takes its copy.
     */
    constructor(
        clock: Clock,
        replica: Replica,
        age: ReplicaFreshness,
        reports: HostReports,
        getPath: () => readonly string[],
    ) {
        this.#getPath = getPath;
        this.#clock = clock;
        this.#replica = replica;
        this.#age = age;
        this.#reports = reports;
        const check = (): void => this.#waiting.forEach(resolve => resolve());
        replica.addListener(check);
        age.addListener(check);
        reports.addListener(check);
    }

    /**
     * Runs a call; the answer comes when there is something new, at the latest when the call's wait is over.
     * @param params - The call.
     */
    async run(params: PullReplicaParams): Promise<PullReplicaResult> {
        const arrival = this.#clock.getTime();
        const end = arrival + params.waitMs;
        const confirmedTime = this.#age.getConfirmedTime();
        while (!this.#isDue(params, confirmedTime) && this.#clock.getTime() < end) {
            await this.#waitForNews(end - this.#clock.getTime());
        }
        return this.#createResult(params, arrival);
    }

    #isDue(params: PullReplicaParams, confirmedTime: number): boolean {
        return this.#replica.hasChanges(params.revision) ||
            this.#age.getConfirmedTime() - confirmedTime >= REFRESH_MS ||
            this.#toldVersions.get(params.sender) !== this.#reports.getVersion();
    }

    async #waitForNews(durationMs: number): Promise<void> {
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
        if (this.#toldVersions.size >= MAX_TOLD) {
            this.#toldVersions.clear();
        }
        this.#toldVersions.set(params.sender, this.#reports.getVersion());
        const events = this.#replica.findChanges(params.revision);
        const confirmedMs = this.#age.getConfirmedTime() - arrival;
        const regainedMs = this.#age.getStoreRegainedTime() - arrival;
        return {
            revision: this.#replica.getRevision(),
            events: events ?? [],
            jumps: this.#replica.findGaps(params.revision),
            ...(events === undefined ? { parts: createSnapshot(this.#replica) } : {}),
            ...(Number.isFinite(confirmedMs) ? { confirmedMs } : {}),
            ...(Number.isFinite(regainedMs) ? { regainedMs } : {}),
            path: this.#getPath(),
            reports: this.#reports.createReports(arrival),
        };
    }
}
