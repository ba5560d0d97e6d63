import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { CrashEvent } from "./CrashEvent.js";
import type { QuarantineOptions } from "./QuarantineOptions.js";
import type { RecordCrashParams } from "./RecordCrashParams.js";
import type { RecordCrashResult } from "./RecordCrashResult.js";

const DEFAULT_CRASH_THRESHOLD = 2;
const CRASH_LIFETIME_MS = 3_600_000;
const MAX_FINGERPRINTS = 10_000;
const MAX_SUCCESSES = 4_096;
const SUCCESS_LIFETIME_MS = 300_000;
const RECORD_TIMEOUT_MS = 200;

interface CrashRecord {
    /** The crashes by attempt id. */
    readonly events: Map<string, CrashEvent>;
    readonly time: number;
}

/** Counts the upstream crashes of each request across the account's hosts and refuses the request from the crash threshold on. */
export class Quarantine {
    readonly #options: QuarantineOptions;
    readonly #crashThreshold: number;
    readonly #crashes = new Map<string, CrashRecord>();
    readonly #successes = new Map<string, number>();

    /** @param options - The quarantine's dependencies and crash threshold. */
    constructor(options: QuarantineOptions) {
        this.#options = options;
        this.#crashThreshold = options.crashThreshold ?? DEFAULT_CRASH_THRESHOLD;
        options.handlers.add(PeerMethod.RecordCrash, params => this.#receive(params));
    }

    /**
     * Whether a request has reached the crash threshold.
     * @param fingerprint - The request's fingerprint.
     */
    isQuarantined(fingerprint: string): boolean {
        const crashRecord = this.#crashes.get(fingerprint);
        if (crashRecord !== undefined && this.#options.clock.getTime() - crashRecord.time > CRASH_LIFETIME_MS) {
            this.#crashes.delete(fingerprint);
            return false;
        }
        return crashRecord !== undefined && crashRecord.events.size >= this.#crashThreshold;
    }

    /**
     * Records a crash here and on the account's other hosts, and adds the crashes that they report.
     * @param account - The account's name; undefined for a caller without an API key.
     * @param fingerprint - The request's fingerprint.
     * @param event - The crash.
     */
    async recordCrash(account: string | undefined, fingerprint: string, event: CrashEvent): Promise<void> {
        if (this.#hasSucceeded(fingerprint)) {
            return;
        }
        this.#addEvents(account, fingerprint, [event]);
        const events = this.#getEvents(fingerprint);
        const hosts = this.#options.membership.getAccountHosts(account);
        const others = hosts.filter(host => host.id !== this.#options.membership.getSelf().id);
        await Promise.all(others.map(host => this.#send(host, { account, fingerprint, events })));
        if (this.isQuarantined(fingerprint)) {
            this.#reportToServiceHosts(fingerprint);
        }
    }

    /**
     * Records that a request was answered, which rules it out as the cause of crashes.
     * @param fingerprint - The request's fingerprint.
     */
    recordSuccess(fingerprint: string): void {
        this.#successes.delete(fingerprint);
        this.#successes.set(fingerprint, this.#options.clock.getTime());
        this.#removeOldest(this.#successes, MAX_SUCCESSES);
        this.#crashes.delete(fingerprint);
    }

    #hasSucceeded(fingerprint: string): boolean {
        const time = this.#successes.get(fingerprint);
        return time !== undefined && this.#options.clock.getTime() - time <= SUCCESS_LIFETIME_MS;
    }

    #receive(params: RecordCrashParams): RecordCrashResult {
        if (this.#hasSucceeded(params.fingerprint)) {
            return { events: [] };
        }
        this.#addEvents(params.account, params.fingerprint, params.events);
        return { events: this.#getEvents(params.fingerprint) };
    }

    async #send(host: Member, params: RecordCrashParams): Promise<void> {
        try {
            const result = await this.#options.transport.send(
                host.peerAddress,
                PeerMethod.RecordCrash,
                params,
                RECORD_TIMEOUT_MS,
            );
            this.#addEvents(params.account, params.fingerprint, result.events);
        }
        catch {
            // While the other host is unreachable, only the crashes known here count.
        }
    }

    #getEvents(fingerprint: string): readonly CrashEvent[] {
        return [...this.#crashes.get(fingerprint)?.events.values() ?? []];
    }

    /** Reports the crashes to the service hosts, which then no longer count them against the upstreams, as the request caused them. */
    #reportToServiceHosts(fingerprint: string): void {
        const { handlers, membership, transport } = this.#options;
        for (const { attemptId, hostAddress } of this.#getEvents(fingerprint)) {
            const params = { requestId: attemptId };
            const isLocal = hostAddress === membership.getSelf().peerAddress;
            const report = isLocal
                ? handlers.run(PeerMethod.RemoveCrash, params)
                : transport.send(hostAddress, PeerMethod.RemoveCrash, params, RECORD_TIMEOUT_MS);
            report.catch(() => undefined);
        }
    }

    #addEvents(account: string | undefined, fingerprint: string, events: readonly CrashEvent[]): void {
        const time = this.#options.clock.getTime();
        const record = this.#crashes.get(fingerprint) ?? { events: new Map<string, CrashEvent>(), time };
        const wasQuarantined = record.events.size >= this.#crashThreshold;
        for (const event of events.slice(0, this.#crashThreshold)) {
            record.events.set(event.attemptId, event);
        }
        this.#crashes.set(fingerprint, record);
        this.#removeOldest(this.#crashes, MAX_FINGERPRINTS);
        if (!wasQuarantined && record.events.size >= this.#crashThreshold) {
            const figures = { fingerprint, crashes: record.events.size };
            this.#options.decisionLog.record({
                decision: Decision.Quarantined,
                reason: "request-crashes-upstreams",
                account,
                figures,
            });
        }
    }

    #removeOldest(map: Map<string, unknown>, limit: number): void {
        for (const key of map.keys()) {
            if (map.size <= limit) {
                return;
            }
            map.delete(key);
        }
    }
}
