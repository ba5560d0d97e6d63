import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import type { Clock } from "../time/index.js";
import { createAnswerBody } from "./createAnswerBody.js";
import type { PlannedWork } from "./PlannedWork.js";
import type { RecordBook } from "./RecordBook.js";
import { RecordEnd } from "./RecordEnd.js";
import type { UpstreamAnswerHead } from "./UpstreamAnswerHead.js";
import type { UpstreamRecord } from "./UpstreamRecord.js";
import type { UpstreamStandInSettings } from "./UpstreamStandInSettings.js";

const LARGE_PATH = /\/large(?:\?|$)/;
const STATUS_OK = 200;

/** Writes the answers of an upstream stand-in, with the faults planned for them. */
export class UpstreamAnswerWriter {
    readonly #settings: UpstreamStandInSettings;
    readonly #clock: Clock;
    readonly #records: RecordBook;
    #previous: UpstreamAnswerHead | undefined;

    /**
     * @param settings - The upstream's settings.
     * @param clock - The source of time.
     * @param records - Where the end of each request is recorded.
     */
    constructor(settings: UpstreamStandInSettings, clock: Clock, records: RecordBook) {
        this.#settings = settings;
        this.#clock = clock;
        this.#records = records;
    }

    /**
     * Writes the answer to a request.
     * @param request - The request.
     * @param response - Where to.
     * @param record - The request's record.
     * @param work - The faults planned for it.
     * @param signal - Aborted when the client has left.
     */
    async write(
        request: IncomingMessage,
        response: ServerResponse,
        record: UpstreamRecord,
        work: PlannedWork,
        signal: AbortSignal,
    ): Promise<void> {
        if (work.lateMs > 0) {
            await this.#clock.wait(work.lateMs, signal);
        }
        const head = this.#selectHead(request, record, work);
        const body = createAnswerBody(head);
        response.writeHead(STATUS_OK, {
            "content-type": "text/plain",
            "content-length": body.bytes,
            "x-upstream": this.#settings.name,
            ...(head.requestId === undefined ? {} : { "x-request-id": head.requestId }),
        });
        if (work.isCut) {
            return await this.#writeCut(response, record, body);
        }
        await pipeline(Readable.from(body.chunks), response);
        this.#records.recordEnd(record, RecordEnd.Answered, STATUS_OK);
        if (work.isStray) {
            writeStray(request, head);
        }
    }

    #selectHead(request: IncomingMessage, record: UpstreamRecord, work: PlannedWork): UpstreamAnswerHead {
        const own: UpstreamAnswerHead = {
            requestId: record.requestId,
            path: record.path,
            upstream: this.#settings.name,
            bytes: this.#getSize(request),
        };
        const previous = this.#previous;
        this.#previous = own;
        return work.isCrossed && previous !== undefined ? previous : own;
    }

    #getSize(request: IncomingMessage): number {
        const wanted = Number(request.headers["x-answer-bytes"]);
        if (Number.isInteger(wanted) && wanted >= 0) {
            return wanted;
        }
        return LARGE_PATH.test(request.url ?? "") ? this.#settings.largeBytes : 0;
    }

    async #writeCut(
        response: ServerResponse,
        record: UpstreamRecord,
        body: ReturnType<typeof createAnswerBody>,
    ): Promise<void> {
        const [first] = body.chunks;
        const half = first!.subarray(0, Math.floor(first!.length / 2));
        this.#records.recordEnd(record, RecordEnd.Cut, STATUS_OK);
        await new Promise<void>(resolve => response.write(half, () => resolve()));
        response.destroy();
    }
}

function writeStray(request: IncomingMessage, head: UpstreamAnswerHead): void {
    const text = JSON.stringify({ ...head, path: "/stray" });
    request.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`);
}
