import type { IncomingMessage } from "node:http";
import type { Clock } from "../time/index.js";
import { RecordEnd } from "./RecordEnd.js";
import type { UpstreamRecord } from "./UpstreamRecord.js";

/** Keeps what an upstream stand-in has seen and done. */
export class RecordBook {
    readonly #clock: Clock;
    readonly #upstream: string;
    readonly #records: UpstreamRecord[] = [];

    /**
     * @param clock - The source of time.
     * @param upstream - The upstream's name.
     */
    constructor(clock: Clock, upstream: string) {
        this.#clock = clock;
        this.#upstream = upstream;
    }

    /** Gets all records, oldest first. */
    getRecords(): readonly UpstreamRecord[] {
        return this.#records;
    }

    /**
     * Adds a record of a request that has just come.
     * @param request - The request.
     * @param isDraining - Whether the upstream is leaving.
     */
    add(request: IncomingMessage, isDraining: boolean): UpstreamRecord {
        const record: UpstreamRecord = {
            upstream: this.#upstream,
            method: request.method ?? "",
            path: request.url ?? "",
            requestId: findHeader(request, "x-request-id"),
            idempotencyKey: findHeader(request, "idempotency-key"),
            account: findHeader(request, "x-account"),
            receivedAt: this.#clock.getWallTime(),
            startedAt: undefined,
            endedAt: undefined,
            ran: false,
            end: RecordEnd.Running,
            status: undefined,
            isDraining,
            headers: request.rawHeaders,
        };
        this.#records.push(record);
        return record;
    }

    /**
     * Records that the work has begun and so took effect.
     * @param record - The request's record.
     */
    recordStart(record: UpstreamRecord): void {
        record.startedAt = this.#clock.getWallTime();
        record.ran = true;
    }

    /**
     * Records how the request ended; only the first end counts.
     * @param record - The request's record.
     * @param end - How it ended.
     * @param status - The status sent, if any.
     */
    recordEnd(record: UpstreamRecord, end: RecordEnd, status?: number): void {
        if (record.end !== RecordEnd.Running) {
            return;
        }
        record.end = end;
        record.status = status;
        record.endedAt = this.#clock.getWallTime();
    }
}

function findHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(", ") : value;
}
