import { Readable } from "node:stream";
import type { Upstream } from "../configuration/index.js";
import { TruncatedAnswerError } from "../errors/index.js";
import type {
    ServiceRequest,
    UpstreamAnswer,
    UpstreamNotice,
    UpstreamSendOptions,
    UpstreamTransport,
} from "../services/index.js";
import { createUpstreamHeaders, UpstreamAnswerKind } from "../services/index.js";
import type { FakeConnection } from "./FakeConnection.js";
import { FakeUpstream } from "./FakeUpstream.js";
import type { FakeUpstreamFaults } from "./FakeUpstreamFaults.js";
import type { FakeUpstreamRecord } from "./FakeUpstreamRecord.js";
import type { FakeUpstreamsOptions } from "./FakeUpstreamsOptions.js";

const CONNECT_MS = 1;
const DEFAULT_ANSWER_BYTES = 32;
const DEFAULT_RESTART_MS = 5_000;
const TAIL_FACTOR = 10;
const OK = 200;
const INTERNAL_ERROR = 500;
const UNAVAILABLE = 503;

/** Upstreams in memory with slots, service times and gray failures, which record the requests they receive. */
export class FakeUpstreams implements UpstreamTransport {
    /** The requests that reached the upstreams, oldest first. */
    readonly records: FakeUpstreamRecord[] = [];
    /** Whether to keep records; long experiments turn it off. */
    isRecording = true;
    readonly #options: FakeUpstreamsOptions;
    readonly #upstreams = new Map<string, FakeUpstream>();

    /** @param options - Service times, answers and dependencies of the upstreams. */
    constructor(options: FakeUpstreamsOptions) {
        this.#options = options;
    }

    /**
     * Replaces an upstream's faults.
     * @param name - The upstream's name.
     * @param faults - The new faults.
     */
    applyFaults(name: string, faults: FakeUpstreamFaults): void {
        this.#getUpstream(name).faults = faults;
    }

    /**
     * Makes the idle connections to an upstream drop all messages from now on; new connections work.
     * @param name - The upstream's name.
     */
    stopIdleConnections(name: string): void {
        this.#getUpstream(name).stopIdle();
    }

    /**
     * Crashes an upstream: it loses the requests that it runs and refuses connections until it has restarted.
     * @param name - The upstream's name.
     */
    stopUpstream(name: string): void {
        this.#getUpstream(name).stop(this.#options.restartMs ?? DEFAULT_RESTART_MS);
    }

    /**
     * Gets the number of requests that an upstream is running.
     * @param name - The upstream's name.
     */
    getRunning(name: string): number {
        return this.#getUpstream(name).running;
    }

    /**
     * Sends one request; never rejects.
     * @param upstream - The upstream.
     * @param request - The request.
     * @param options - Limits of this attempt.
     */
    async send(upstream: Upstream, request: ServiceRequest, options: UpstreamSendOptions): Promise<UpstreamAnswer> {
        const { clock } = this.#options;
        const state = this.#getUpstream(upstream.name);
        const deadline = clock.getTime() + options.firstByteTimeoutMs;
        if (options.signal.aborted) {
            return createConnectFailure("The request was cancelled before it was sent.");
        }
        const connection = state.claim(options.freshConnection) ?? await this.#openConnection(state);
        if (connection === undefined) {
            return createConnectFailure("Connection refused.");
        }
        if (connection.isSilent) {
            return await this.#waitUntilTimeout(deadline, options.signal);
        }
        const isShed = state.faults.isShedding === true || state.running >= upstream.slots;
        this.#record(upstream, request, options, !isShed, state.running);
        if (isShed) {
            state.release(connection);
            const { retryAfterMs } = state.faults;
            return { kind: UpstreamAnswerKind.Shed, retryAfterMs, notice: createNotice(state, false, retryAfterMs) };
        }
        return await this.#runRequest(state, connection, request, deadline, options.signal);
    }

    /**
     * Closes idle connections to an upstream.
     * @param upstream - The upstream.
     */
    closeIdle(upstream: Upstream): void {
        this.#getUpstream(upstream.name).closeIdle();
    }

    async #runRequest(
        state: FakeUpstream,
        connection: FakeConnection,
        request: ServiceRequest,
        deadline: number,
        signal: AbortSignal,
    ): Promise<UpstreamAnswer> {
        const { clock, random, crashMark } = this.#options;
        state.running++;
        const crash = state.getCrashSignal();
        if (crashMark !== undefined && request.path.includes(crashMark)) {
            clock.schedule(0, () => state.stop(this.#options.restartMs ?? DEFAULT_RESTART_MS));
        }
        const isHanging = random.getNext() < (state.faults.hangRate ?? 0);
        const serviceTime = isHanging ? Number.MAX_SAFE_INTEGER : this.#getServiceTime(state, request);
        const limit = deadline - clock.getTime();
        const ended = await waitFor(clock.wait.bind(clock), Math.min(serviceTime, limit), [signal, crash]);
        if (ended !== undefined || serviceTime > limit) {
            state.running--;
            return this.#createInterruption(ended, signal);
        }
        return this.#createAnswer(state, connection);
    }

    #createInterruption(ended: AbortSignal | undefined, signal: AbortSignal): UpstreamAnswer {
        if (ended === undefined) {
            return { kind: UpstreamAnswerKind.TimedOut };
        }
        return ended === signal
            ? { kind: UpstreamAnswerKind.Aborted }
            : { kind: UpstreamAnswerKind.ConnectionLost, detail: "The upstream closed the connection." };
    }

    #createAnswer(state: FakeUpstream, connection: FakeConnection): UpstreamAnswer {
        const { random, healthyErrorRate } = this.#options;
        const { cutRate, lossRate, errorRate, errorStatus = INTERNAL_ERROR, isUnavailable = false, retryAfterMs } =
            state.faults;
        if (random.getNext() < (lossRate ?? 0)) {
            state.running--;
            return { kind: UpstreamAnswerKind.ConnectionLost, detail: "The upstream closed the connection." };
        }
        if (isUnavailable) {
            return {
                kind: UpstreamAnswerKind.Answered,
                status: UNAVAILABLE,
                headers: {},
                body: this.#createBody(state, connection, 0, false),
                notice: createNotice(state, false, retryAfterMs),
            };
        }
        const isFailing = random.getNext() < (errorRate ?? healthyErrorRate ?? 0);
        const bytes = this.#options.answerBytes ?? DEFAULT_ANSWER_BYTES;
        return {
            kind: UpstreamAnswerKind.Answered,
            status: isFailing ? errorStatus : OK,
            headers: { "content-length": String(bytes) },
            body: this.#createBody(state, connection, bytes, random.getNext() < (cutRate ?? 0)),
            notice: createNotice(state, !isFailing),
        };
    }

    #createBody(state: FakeUpstream, connection: FakeConnection, bytes: number, isCut: boolean): Readable {
        const { clock, answerTimeMs } = this.#options;
        let isStarted = false;
        let isComplete = false;
        const sendSecondHalf = (): void => {
            if (isCut) {
                body.destroy(new TruncatedAnswerError("The upstream's answer was cut."));
                return;
            }
            isComplete = true;
            body.push(Buffer.alloc(bytes - Math.floor(bytes / 2)));
            body.push(null);
        };
        const body = new Readable({
            read: () => {
                if (!isStarted) {
                    isStarted = true;
                    body.push(Buffer.alloc(Math.floor(bytes / 2)));
                    clock.schedule(answerTimeMs ?? 0, sendSecondHalf);
                }
            },
            destroy: (error, callback) => {
                state.running--;
                if (isComplete) {
                    state.release(connection);
                }
                callback(error);
            },
        });
        return body;
    }

    #getServiceTime(state: FakeUpstream, { route }: ServiceRequest): number {
        const { random, routeServiceTimesMs, coldStartMs, coldFactor, tailRate } = this.#options;
        const serviceTimeMs = routeServiceTimesMs?.[route ?? ""] ?? this.#options.serviceTimeMs;
        const tail = tailRate !== undefined && random.getNext() < tailRate ? TAIL_FACTOR : 1;
        const cold = state.isCold(coldStartMs ?? 0) ? coldFactor ?? 1 : 1;
        return serviceTimeMs * (0.5 + random.getNext()) * (state.faults.slowFactor ?? 1) * cold * tail;
    }

    async #openConnection(state: FakeUpstream): Promise<FakeConnection | undefined> {
        await this.#options.clock.wait(CONNECT_MS);
        return state.isDown() ? undefined : { isSilent: false, lastAnswerTime: this.#options.clock.getTime() };
    }

    async #waitUntilTimeout(deadline: number, signal: AbortSignal): Promise<UpstreamAnswer> {
        const { clock } = this.#options;
        const ended = await waitFor(clock.wait.bind(clock), deadline - clock.getTime(), [signal]);
        return this.#createInterruption(ended, signal);
    }

    #record(
        upstream: Upstream,
        request: ServiceRequest,
        options: UpstreamSendOptions,
        isRun: boolean,
        running: number,
    ): void {
        if (!this.isRecording) {
            return;
        }
        this.records.push({
            requestId: request.requestId,
            account: request.account,
            upstream: upstream.name,
            path: request.path,
            isIdempotent: request.isIdempotent,
            time: this.#options.clock.getTime(),
            isRun,
            running,
            headers: createUpstreamHeaders(request, options.deadlineMs),
        });
    }

    #getUpstream(name: string): FakeUpstream {
        let state = this.#upstreams.get(name);
        if (state === undefined) {
            state = new FakeUpstream(this.#options.clock);
            this.#upstreams.set(name, state);
        }
        return state;
    }
}

function createNotice({ faults }: FakeUpstream, isSuccess: boolean, retryAfterMs?: number): UpstreamNotice {
    const { requestRate = Infinity, isLeaving = false, hasSilentFailures = false } = faults;
    const isNamed = isSuccess || !hasSilentFailures;
    return {
        requestRate: Number.isNaN(requestRate) ? undefined : isNamed ? requestRate : Infinity,
        isLeaving,
        retryAfterMs,
    };
}

function createConnectFailure(detail: string): UpstreamAnswer {
    return { kind: UpstreamAnswerKind.ConnectFailed, detail };
}

type Wait = (delayMs: number, signal?: AbortSignal) => Promise<void>;

async function waitFor(wait: Wait, delayMs: number, signals: readonly AbortSignal[]): Promise<AbortSignal | undefined> {
    const controller = new AbortController();
    const cancel = (): void => controller.abort();
    signals.forEach(signal => signal.addEventListener("abort", cancel, { once: true }));
    if (signals.some(signal => signal.aborted)) {
        controller.abort();
    }
    await wait(delayMs, controller.signal).catch(() => {});
    signals.forEach(signal => signal.removeEventListener("abort", cancel));
    return signals.find(signal => signal.aborted);
}
