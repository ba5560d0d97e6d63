import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { HostReports } from "./HostReports.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import type { ReplicaTree } from "./ReplicaTree.js";

/** A host that should call this one is checked after this long without contact, in milliseconds. */
const SILENCE_MS = 1_100;
const CHECK_TIMEOUT_MS = 300;
/** Failed checks in a row after which a host is reported silent. */
const FAILURE_THRESHOLD = 2;
/** Pause before a silent host is checked again, in milliseconds. */
const SILENT_RECHECK_MS = 1_000;

interface CheckedHost {
    lastContactTime: number;
    failures: number;
    nextCheckTime: number;
}

/** Checks hosts that should call this one but have not, and hosts that did not answer a call, and reports the silent ones. */
export class HostChecker {
    readonly #options: ReplicaSynchronizerOptions;
    readonly #reports: HostReports;
    readonly #hosts = new Map<string, CheckedHost>();
    readonly #suspects = new Map<string, Member>();
    #lastContactTime = Number.NEGATIVE_INFINITY;

    /**
     * @param options - Dependencies of the synchronizer.
     * @param reports - Receives which hosts answer and which are silent.
     */
    constructor(options: ReplicaSynchronizerOptions, reports: HostReports) {
        this.#options = options;
        this.#reports = reports;
    }

    /** Gets when any other host last called or answered, in milliseconds of the clock. */
    getLastContactTime(): number {
        return this.#lastContactTime;
    }

    /**
     * Records that a host has called or answered.
     * @param id - The host's member id.
     */
    recordContact(id: string): void {
        const now = this.#options.clock.getTime();
        this.#lastContactTime = now;
        const host = this.#hosts.get(id);
        if (host !== undefined && host.failures >= FAILURE_THRESHOLD) {
            this.#record(id, "host-answers");
        }
        this.#suspects.delete(id);
        this.#hosts.set(id, { lastContactTime: now, failures: 0, nextCheckTime: now });
        this.#reports.recordContact(id);
    }

    /**
     * Records that a host has not answered a call; it is checked at once.
     * @param member - The host.
     */
    recordFailure(member: Member): void {
        if (!this.#suspects.has(member.id)) {
            this.#suspects.set(member.id, member);
            const host = this.#getHost(member.id);
            host.failures = Math.max(1, host.failures);
            void this.#sendCheck(member, host);
        }
    }

    /**
     * Checks the hosts that pull from this one and the suspects, where contact is overdue.
     * @param tree - Which host pulls from which.
     */
    check(tree: ReplicaTree): void {
        const now = this.#options.clock.getTime();
        const others = new Set(tree.getOthers().map(member => member.id));
        const children = tree.getChildren();
        const suspects = [...this.#suspects.values()].filter(member => others.has(member.id));
        this.#suspects.clear();
        suspects.forEach(member => this.#suspects.set(member.id, member));
        for (const member of new Set([...children, ...suspects])) {
            const host = this.#getHost(member.id);
            if (now >= host.nextCheckTime && (host.failures > 0 || now - host.lastContactTime > SILENCE_MS)) {
                void this.#sendCheck(member, host);
            }
        }
        [...this.#hosts.keys()].filter(id => !others.has(id)).forEach(id => this.#hosts.delete(id));
    }

    #getHost(id: string): CheckedHost {
        const known = this.#hosts.get(id);
        if (known !== undefined) {
            return known;
        }
        const host = {
            lastContactTime: Number.NEGATIVE_INFINITY,
            failures: 0,
            nextCheckTime: this.#options.clock.getTime(),
        };
        this.#hosts.set(id, host);
        return host;
    }

    async #sendCheck(member: Member, host: CheckedHost): Promise<void> {
        const { clock, transport, self } = this.#options;
        host.nextCheckTime = Number.POSITIVE_INFINITY;
        try {
            const params = { sender: self.id };
            const { id } = await transport.send(member.peerAddress, PeerMethod.CheckHost, params, CHECK_TIMEOUT_MS);
            this.recordContact(id);
        }
        catch (error) {
            host.failures++;
            host.nextCheckTime = clock.getTime() + (host.failures >= FAILURE_THRESHOLD ? SILENT_RECHECK_MS : 0);
            this.#reportSilent(member.id, host, error);
        }
    }

    /** Reports a host as silent, unless it was in contact by another call in the meantime. */
    #reportSilent(id: string, host: CheckedHost, error: unknown): void {
        if (this.#hosts.get(id) !== host || host.failures < FAILURE_THRESHOLD) {
            return;
        }
        if (host.failures === FAILURE_THRESHOLD) {
            this.#record(id, "host-silent", { error: error instanceof Error ? error.message : String(error) });
        }
        this.#suspects.delete(id);
        this.#reports.recordSilent(id);
    }

    #record(id: string, reason: string, figures: Readonly<Record<string, string>> = {}): void {
        this.#options.decisions.record({ decision: Decision.DependencyChanged, reason, member: id, figures });
    }
}
