import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { HostReports } from "./HostReports.js";
import type { ReplicaSynchronizerOptions } from "./ReplicaSynchronizerOptions.js";
import type { ReplicaTree } from "./ReplicaTree.js";

/** A host that should call and hasn't for this long is asked, in milliseconds. */
const SILENCE_MS = 1_100;
const ASK_TIMEOUT_MS = 300;
/** Failures in a row after which a host is reported silent. */
const FAILURES = 2;
/** Pause before a silent host is asked again, in milliseconds. */
const SILENT_PAUSE_MS = 1_000;

interface CheckedHost {
    heardTime: number;
    failures: number;
    nextTime: number;
}

/** Finds out which of the hosts that should call this one don't answer, and reports them. */
export class HostChecker {
    readonly #options: ReplicaSynchronizerOptions;
    readonly #reports: HostReports;
    readonly #hosts = new Map<string, CheckedHost>();
    readonly #suspects = new Map<string, Member>();
    #contactTime = Number.NEGATIVE_INFINITY;

    /**
     * @param options - What the keeper works with.
     * @param reports - Which hosts answer.
     */
    constructor(options: ReplicaSynchronizerOptions, reports: HostReports) {
        this.#options = options;
        this.#reports = reports;
    }

    /** Gets when any host was heard last, in milliseconds of the clock. */
    getLastContactTime(): number {
        return this.#contactTime;
    }

    /**
     * Records that a host has called or answered.
     * @param id - The host's member id.
     */
    recordContact(id: string): void {
        const now = this.#options.clock.getTime();
        this.#contactTime = now;
        const host = this.#hosts.get(id);
        if (host !== undefined && host.failures >= FAILURES) {
            this.#record(id, "host-answers");
        }
        this.#suspects.delete(id);
        this.#hosts.set(id, { heardTime: now, failures: 0, nextTime: now });
        this.#reports.recordContact(id);
    }

    /**
     * Records that a host has not answered a call; it is asked again at once.
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
     * Asks those that should have called.
     * @param tree - Who takes its copy from whom.
     */
    check(tree: ReplicaTree): void {
        const now = this.#options.clock.getTime();
        const others = new Set(tree.getOthers().map(member => member.id));
        const wards = tree.getChildren();
        const suspects = [...this.#suspects.values()].filter(member => others.has(member.id));
        this.#suspects.clear();
        suspects.forEach(member => this.#suspects.set(member.id, member));
        for (const member of new Set([...wards, ...suspects])) {
            const host = this.#getHost(member.id);
            if (now >= host.nextTime && (host.failures > 0 || now - host.heardTime > SILENCE_MS)) {
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
        const host = { heardTime: Number.NEGATIVE_INFINITY, failures: 0, nextTime: this.#options.clock.getTime() };
        this.#hosts.set(id, host);
        return host;
    }

    async #sendCheck(member: Member, host: CheckedHost): Promise<void> {
        const { clock, transport, self } = this.#options;
        host.nextTime = Number.POSITIVE_INFINITY;
        try {
            const params = { sender: self.id };
            const { id } = await transport.send(member.peerAddress, PeerMethod.CheckHost, params, ASK_TIMEOUT_MS);
            this.recordContact(id);
        }
        catch (error) {
            host.failures++;
            host.nextTime = clock.getTime() + (host.failures >= FAILURES ? SILENT_PAUSE_MS : 0);
            this.#reportSilent(member.id, host, error);
        }
    }

    /** One that this host has heard by another call meanwhile is not silent. */
    #reportSilent(id: string, host: CheckedHost, error: unknown): void {
        if (this.#hosts.get(id) !== host || host.failures < FAILURES) {
            return;
        }
        if (host.failures === FAILURES) {
            this.#record(id, "host-silent", { error: error instanceof Error ? error.message : String(error) });
        }
        this.#suspects.delete(id);
        this.#reports.recordSilent(id);
    }

    #record(id: string, reason: string, figures: Readonly<Record<string, string>> = {}): void {
        this.#options.decisions.record({ decision: Decision.DependencyChanged, reason, member: id, figures });
    }
}
