import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { UnexpectedVariantError } from "../errors/index.js";
import { SeededRandom } from "../random/index.js";
import type { Clock } from "../time/index.js";
import { closeServer } from "../utils/index.js";
import type { FaultSet } from "./FaultSet.js";
import { RecordBook } from "./RecordBook.js";
import { RecordEnd } from "./RecordEnd.js";
import { ReportMode } from "./ReportMode.js";
import { sendJson } from "./sendJson.js";
import { SlotQueue } from "./SlotQueue.js";
import { UpstreamAnswerWriter } from "./UpstreamAnswerWriter.js";
import { UpstreamConnections } from "./UpstreamConnections.js";
import { UpstreamFaultPlan } from "./UpstreamFaultPlan.js";
import type { UpstreamRecord } from "./UpstreamRecord.js";
import { UpstreamReports } from "./UpstreamReports.js";
import type { UpstreamStandInSettings } from "./UpstreamStandInSettings.js";

const KEEP_ALIVE_MS = 60_000;
const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STATUS_ERROR = 500;
const STATUS_UNAVAILABLE = 503;
const STATUS_DEADLINE = 504;

/** The stand-in for an upstream: it serves requests on few slots, with faults, and records what ran. */
export class UpstreamStandIn {
    readonly #settings: UpstreamStandInSettings;
    readonly #clock: Clock;
    readonly #plan: UpstreamFaultPlan;
    readonly #slots: SlotQueue;
    readonly #records: RecordBook;
    readonly #reports: UpstreamReports;
    readonly #answers: UpstreamAnswerWriter;
    readonly #server: Server;
    readonly #connections: UpstreamConnections;

    /**
     * @param settings - Its settings.
     * @param clock - The source of time.
     */
    constructor(settings: UpstreamStandInSettings, clock: Clock) {
        this.#settings = settings;
        this.#clock = clock;
        this.#plan = new UpstreamFaultPlan(settings, clock, new SeededRandom(settings.seed));
        this.#slots = new SlotQueue(clock, settings.slots, settings.queue);
        this.#records = new RecordBook(clock, settings.name);
        this.#reports = new UpstreamReports(clock, settings.reportLagMs);
        this.#answers = new UpstreamAnswerWriter(settings, clock, this.#records);
        this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
            void this.#runRequest(request, response);
        });
        this.#connections = new UpstreamConnections(this.#server, settings.connections);
        this.#recordState();
    }

    /** Gets the upstream's name. */
    getName(): string {
        return this.#settings.name;
    }

    /** Gets the faults in force. */
    getFaults(): FaultSet {
        return this.#plan.getFaults();
    }

    /** Gets what it has seen and done, oldest first. */
    getRecords(): readonly UpstreamRecord[] {
        return this.#records.getRecords();
    }

    /** Gets the present number of connections, slots in use and requests that wait. */
    getLoad(): { readonly connections: number; readonly busy: number; readonly queued: number; } {
        const connections = this.#connections.getCount();
        return { connections, busy: this.#slots.getBusy(), queued: this.#slots.getQueued() };
    }

    /** Starts to listen on loopback and returns the port. */
    async start(): Promise<number> {
        const port = await this.#connections.start(this.#settings.port);
        this.applyFaults(this.getFaults());
        return port;
    }

    /** Stops listening and closes all connections. */
    async stop(): Promise<void> {
        this.#connections.stopAccepting();
        this.#connections.closeAll();
        await closeServer(this.#server);
    }

    /**
     * Applies faults.
     * @param faults - All faults that shall hold from now on.
     */
    applyFaults(faults: FaultSet): void {
        this.#plan.apply(faults);
        if (faults.isRefusing) {
            this.#connections.stopAccepting();
        }
        else if (!this.#plan.isDown()) {
            this.#connections.startAccepting();
        }
        this.#recordState();
    }

    /** Stops all traffic on the connections that are open now; new ones work. */
    stopTraffic(): void {
        this.#connections.stopTraffic();
    }

    /** Runs a crash: all connections are reset, new ones refused for a while, then the start is cold. */
    runCrash(): void {
        this.#plan.recordCrash();
        this.#connections.stopAccepting();
        this.#connections.closeAll();
        this.#clock.schedule(this.#settings.crashDownMs, () => {
            if (!this.getFaults().isRefusing && !this.#plan.isDown()) {
                this.#connections.startAccepting();
            }
        });
    }

    async #runRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.#connections.isSilent(request.socket)) {
            const record = this.#records.add(request, this.getFaults().isDraining);
            this.#records.recordEnd(record, RecordEnd.Silent);
            return;
        }
        if (request.url === "/health") {
            return await this.#sendHealth(response);
        }
        if (request.url === "/load") {
            return await this.#sendLoad(response);
        }
        return await this.#runWork(request, response);
    }

    async #runWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const record = this.#records.add(request, this.getFaults().isDraining);
        const controller = new AbortController();
        response.on("close", () => controller.abort());
        this.#writeNotices(response);
        try {
            await readWhole(request);
            const { refusalMs, isRefusalProven } = this.getFaults();
            if (refusalMs > 0) {
                return this.#refuse(response, record, controller.signal, refusalMs, isRefusalProven);
            }
            await this.#runInSlot(request, response, record, controller.signal);
        }
        catch {
            this.#records.recordEnd(record, RecordEnd.Cancelled);
        }
        this.#recordState();
    }

    /** Writes the header fields with what the upstream says about itself. */
    #writeNotices(response: ServerResponse): void {
        const { requestRate, isLeaving } = this.getFaults();
        if (requestRate !== null) {
            response.setHeader("x-upstream-request-rate", String(requestRate));
        }
        if (isLeaving) {
            response.setHeader("x-upstream-leaving", "1");
        }
    }

    async #runInSlot(
        request: IncomingMessage,
        response: ServerResponse,
        record: UpstreamRecord,
        signal: AbortSignal,
    ): Promise<void> {
        const deadline = this.#clock.getTime() + getDeadlineMs(request);
        const waitMs = Math.min(this.#settings.queueMs, deadline - this.#clock.getTime());
        if (!await this.#slots.claim(waitMs, signal)) {
            return this.#refuse(response, record, signal);
        }
        try {
            this.#records.recordStart(record);
            this.#recordState();
            await this.#runStarted(request, response, record, deadline, signal);
        }
        finally {
            this.#slots.release();
        }
    }

    async #runStarted(
        request: IncomingMessage,
        response: ServerResponse,
        record: UpstreamRecord,
        deadline: number,
        signal: AbortSignal,
    ): Promise<void> {
        if (request.headers["x-crash-upstream"] !== undefined) {
            this.#records.recordEnd(record, RecordEnd.Crashed);
            return this.runCrash();
        }
        const work = this.#plan.createWork();
        const timeLeft = deadline - this.#clock.getTime();
        await this.#clock.wait(Math.min(work.serviceTimeMs, timeLeft), signal);
        if (this.#connections.isSilent(request.socket)) {
            return this.#records.recordEnd(record, RecordEnd.Silent);
        }
        if (work.serviceTimeMs > timeLeft) {
            this.#records.recordEnd(record, RecordEnd.Expired, STATUS_DEADLINE);
            return sendJson(response, STATUS_DEADLINE, { requestId: record.requestId, path: record.path });
        }
        if (work.isError) {
            this.#records.recordEnd(record, RecordEnd.Answered, STATUS_ERROR);
            return sendJson(response, STATUS_ERROR, { requestId: record.requestId, path: record.path });
        }
        await this.#answers.write(request, response, record, work, signal);
    }

    #refuse(
        response: ServerResponse,
        record: UpstreamRecord,
        signal: AbortSignal,
        retryAfterMs = this.#settings.retryAfterMs,
        isProven = true,
    ): void {
        if (signal.aborted) {
            return this.#records.recordEnd(record, RecordEnd.Cancelled);
        }
        this.#records.recordEnd(record, RecordEnd.Shed, STATUS_UNAVAILABLE);
        if (isProven) {
            response.setHeader("x-request-not-run", "1");
        }
        response.setHeader("retry-after", Math.ceil(retryAfterMs / MS_PER_SECOND));
        sendJson(response, STATUS_UNAVAILABLE, { detail: "No slot is free." });
    }

    async #sendHealth(response: ServerResponse): Promise<void> {
        await this.#clock.wait(this.#settings.probeMs);
        const isHealthy = this.#getReported(
            this.getFaults().healthMode,
            true,
            !(this.#reports.getState()?.isDraining ?? false),
            false,
        );
        sendJson(response, isHealthy ? STATUS_OK : STATUS_UNAVAILABLE, { isHealthy });
    }

    async #sendLoad(response: ServerResponse): Promise<void> {
        await this.#clock.wait(this.#settings.probeMs);
        const { slots } = this.#settings;
        const reported = this.#reports.getState();
        const idle = { busy: 0, queued: 0 };
        const lagging = { busy: reported?.busy ?? 0, queued: reported?.queued ?? 0 };
        const full = { busy: slots, queued: this.#settings.queue };
        sendJson(response, STATUS_OK, { slots, ...this.#getReported(this.getFaults().loadMode, idle, lagging, full) });
    }

    #getReported<Report>(mode: ReportMode, good: Report, lagging: Report, bad: Report): Report {
        switch (mode) {
            case ReportMode.AlwaysGood:
                return good;
            case ReportMode.Lagging:
                return lagging;
            case ReportMode.AlwaysBad:
                return bad;
            default:
                throw new UnexpectedVariantError(mode);
        }
    }

    #recordState(): void {
        const { busy, queued } = this.getLoad();
        this.#reports.record({ isDraining: this.getFaults().isDraining, busy, queued });
    }
}

async function readWhole(request: IncomingMessage): Promise<void> {
    for await (const chunk of request) {
        void chunk;
    }
}

function getDeadlineMs(request: IncomingMessage): number {
    const value = Number(request.headers["x-deadline-ms"]);
    return Number.isFinite(value) ? value : Infinity;
}
