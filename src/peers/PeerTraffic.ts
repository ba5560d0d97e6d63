import { getTrafficKind } from "./getTrafficKind.js";
import type { PeerMethod } from "./PeerMethod.js";
import type { PeerTrafficCount } from "./PeerTrafficCount.js";
import { PeerTrafficKind } from "./PeerTrafficKind.js";
import type { PeerTrafficOptions } from "./PeerTrafficOptions.js";
import type { PeerTrafficSummary } from "./PeerTrafficSummary.js";

/** Counts the messages of this host to other entry hosts and their bytes by kind and zone, since the last summary. */
export class PeerTraffic {
    readonly #options: PeerTrafficOptions;
    #calls = 0;
    #failures = 0;
    #bytes = 0;
    #slowestMs = 0;
    #answeredBytes = 0;
    #counts = new Map<string, PeerTrafficCount>();

    /** @param options - This host's zone and the source of the other hosts' zones. */
    constructor(options: PeerTrafficOptions) {
        this.#options = options;
    }

    /**
     * Records a call that is sent.
     * @param address - The peer's address.
     * @param method - The method.
     * @param bytes - The length of its body in bytes.
     */
    recordCall(address: string, method: PeerMethod, bytes: number): void {
        this.#calls++;
        this.#bytes += bytes;
        this.#add(getTrafficKind(method), this.#options.findZone(address), bytes);
    }

    /**
     * Records the end of a call.
     * @param durationMs - How long it took, in milliseconds.
     * @param isAnswered - Whether the peer answered.
     */
    recordEnd(durationMs: number, isAnswered: boolean): void {
        this.#slowestMs = Math.max(this.#slowestMs, durationMs);
        this.#failures += isAnswered ? 0 : 1;
    }

    /**
     * Records this host's result of another host's call.
     * @param zone - The caller's zone; undefined if it did not name one.
     * @param method - The method.
     * @param bytes - The length of its body in bytes.
     */
    recordResult(zone: string | undefined, method: PeerMethod, bytes: number): void {
        this.#add(getTrafficKind(method), zone, bytes);
    }

    /**
     * Records a request that is forwarded to another host.
     * @param address - The peer's address.
     * @param bytes - The length of its header and body in bytes.
     */
    recordRequest(address: string, bytes: number): void {
        this.#add(PeerTrafficKind.Requests, this.#options.findZone(address), bytes);
    }

    /**
     * Records this host's answer to a request that another host has forwarded to it.
     * @param zone - The other host's zone; undefined if it did not name one.
     * @param bytes - The length of its header and body in bytes.
     */
    recordAnswer(zone: string | undefined, bytes: number): void {
        this.#answeredBytes += bytes;
        this.#add(PeerTrafficKind.Answers, zone, bytes);
    }

    /** Gets the counts since the last summary and resets them. */
    readSummary(): PeerTrafficSummary {
        const summary = {
            calls: this.#calls,
            failures: this.#failures,
            bytes: this.#bytes,
            slowestMs: this.#slowestMs,
            answeredBytes: this.#answeredBytes,
            counts: [...this.#counts.values()],
        };
        this.#calls = 0;
        this.#failures = 0;
        this.#bytes = 0;
        this.#slowestMs = 0;
        this.#answeredBytes = 0;
        this.#counts = new Map();
        return summary;
    }

    #add(kind: PeerTrafficKind, zone: string | undefined, bytes: number): void {
        const isOwnZone = zone === this.#options.ownZone;
        const key = `${kind} ${isOwnZone}`;
        const before = this.#counts.get(key)?.bytes ?? 0;
        if (bytes > 0) {
            this.#counts.set(key, { kind, isOwnZone, bytes: before + bytes });
            this.#options.onSent?.({ kind, isOwnZone, bytes });
        }
    }
}
