import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { MemoryKind } from "../memory/index.js";
import { drainBody, drainSocket, refuseSocket } from "../utils/index.js";
import type { CallerConnectionOptions } from "./CallerConnectionOptions.js";
import type { PendingRequest } from "./PendingRequest.js";
import type { PreparedRequest } from "./PreparedRequest.js";

/** Requests of one connection that run at the same time; each may hold the start of an answer in memory. */
const MAX_RUNNING_REQUESTS = 4;
/** Requests of one connection that are kept unanswered; while there are as many, nothing more is read from it. */
const MAX_PENDING_REQUESTS = 16;
/** What a request holds besides its header fields, in bytes: two streams and their objects. */
const REQUEST_BYTES = 8 * 1024;
/** What an answer may hold while it waits: what is read ahead of the caller, and the buffers behind it, in bytes. */
const ANSWER_AHEAD_BYTES = 320 * 1024;

/**
 * Runs the requests of one connection and sends the answers in the order of the requests. Each request that was read is
 * answered before the connection closes, unless the caller asks for an earlier end or an answer breaks off.
 */
export class CallerConnection {
    readonly #socket: Socket;
    readonly #options: CallerConnectionOptions;
    readonly #pending: PendingRequest[] = [];
    #isSending = false;
    #isClosing = false;
    #isPaused = false;
    #isStopped = false;
    #malformedStatus: string | undefined;

    /**
     * @param socket - The connection.
     * @param options - Dependencies of the connection.
     */
    constructor(socket: Socket, options: CallerConnectionOptions) {
        this.#socket = socket;
        this.#options = options;
        // Node emits "close" only on the response that holds the socket, so this listens on the socket.
        socket.once("close", () => this.#cancelRequests());
        // Node resumes the connection when the body of a request is read.
        socket.on("resume", () => this.#isPaused && socket.pause());
    }

    /**
     * Adds a request that has been read.
     * @param request - The request.
     * @param response - Its response.
     * @param prepared - The decoded request.
     */
    add(request: IncomingMessage, response: ServerResponse, prepared: PreparedRequest): void {
        if (this.#isClosing) {
            return;
        }
        const controller = new AbortController();
        const queuedBytes = REQUEST_BYTES + getHeadLength(request);
        this.#options.memory?.budget.claim(MemoryKind.QueuedRequest, queuedBytes);
        this.#pending.push({ request, response, prepared, controller, answer: undefined, queuedBytes, aheadBytes: 0 });
        if (this.#isFull()) {
            this.#stopReading();
        }
        this.#startRequests();
        void this.#sendAnswers();
    }

    /** Reads no more requests; those that were read are answered. */
    stop(): void {
        this.#isStopped = true;
        const newest = this.#pending.at(-1)?.request;
        if (newest?.complete === false) {
            newest.once("end", () => this.#stopReading());
            return;
        }
        this.#stopReading();
    }

    /** Whether a request is in progress. */
    isBusy(): boolean {
        return this.#isSending;
    }

    /**
     * Refuses bytes that are no request, after the answers to the requests before them.
     * @param status - The status code and reason phrase.
     */
    refuse(status: string): void {
        this.#malformedStatus = status;
        if (!this.#isSending) {
            this.#closeMalformed();
        }
    }

    #startRequests(): void {
        if (this.#isClosing) {
            return;
        }
        for (const [index, pending] of this.#pending.slice(0, MAX_RUNNING_REQUESTS).entries()) {
            const canStart = pending.answer !== undefined || index === 0 ||
                (pending.prepared.canRunAhead && this.#claimAhead(pending));
            if (!canStart) {
                return;
            }
            pending.answer ??= pending.prepared.run(pending.controller.signal);
        }
    }

    async #sendAnswers(): Promise<void> {
        if (this.#isSending) {
            return;
        }
        this.#isSending = true;
        try {
            for (let head = this.#pending[0]; head !== undefined && !this.#isClosing; head = this.#pending[0]) {
                this.#releaseAhead(head);
                await this.#sendAnswer(head);
                this.#pending.shift();
                this.#releaseQueued(head);
                this.#startRequests();
                this.#restoreReading();
            }
        }
        catch (error) {
            this.#socket.destroy();
            throw error;
        }
        finally {
            this.#isSending = false;
            this.#closeMalformed();
            if (!this.#isClosing) {
                this.#options.onIdle();
            }
        }
    }

    async #sendAnswer({ request, response, answer: running }: PendingRequest): Promise<void> {
        const answer = await running!;
        if (!request.complete && !this.#socket.destroyed) {
            // Closing a connection with unread bytes resets it, and the answer may be lost.
            await drainBody(request, this.#options.clock);
        }
        if (this.#socket.destroyed) {
            answer.cancel();
            return;
        }
        const isLast = this.#pending.length === 1 && this.#malformedStatus === undefined;
        if (!response.shouldKeepAlive || (isLast && (this.#options.isDraining() || !request.complete))) {
            this.#isClosing = true;
            this.#isPaused = false;
            drainSocket(this.#socket, this.#options.clock);
            response.setHeader("connection", "close");
        }
        await answer.send(response);
        await waitForEnd(response);
    }

    #stopReading(): void {
        if (!this.#isClosing) {
            this.#isPaused = true;
            this.#socket.pause();
        }
    }

    #restoreReading(): void {
        if (!this.#isPaused || this.#isStopped || this.#isFull()) {
            return;
        }
        this.#isPaused = false;
        if (this.#socket.writableNeedDrain) {
            this.#socket.once("drain", () => this.#socket.resume());
            return;
        }
        this.#socket.resume();
    }

    /** While memory is short, one request a connection is kept. */
    #isFull(): boolean {
        const budget = this.#options.memory?.budget;
        return this.#pending.length >= MAX_PENDING_REQUESTS ||
            (this.#pending.length > 0 && budget?.hasRoom(MemoryKind.QueuedRequest, REQUEST_BYTES) === false);
    }

    #claimAhead(pending: PendingRequest): boolean {
        const budget = this.#options.memory?.budget;
        if (budget?.hasRoom(MemoryKind.AnswerAhead, ANSWER_AHEAD_BYTES) === false) {
            return false;
        }
        budget?.claim(MemoryKind.AnswerAhead, ANSWER_AHEAD_BYTES);
        pending.aheadBytes = ANSWER_AHEAD_BYTES;
        return true;
    }

    #releaseAhead(pending: PendingRequest): void {
        this.#options.memory?.budget.release(MemoryKind.AnswerAhead, pending.aheadBytes);
        pending.aheadBytes = 0;
    }

    #releaseQueued(pending: PendingRequest): void {
        this.#options.memory?.budget.release(MemoryKind.QueuedRequest, pending.queuedBytes);
        pending.queuedBytes = 0;
    }

    #cancelRequests(): void {
        this.#isClosing = true;
        for (const [index, pending] of this.#pending.entries()) {
            const { controller, answer } = pending;
            this.#releaseAhead(pending);
            this.#releaseQueued(pending);
            controller.abort(new Error("The caller has left."));
            const isBeingSent = index === 0 && this.#isSending;
            if (!isBeingSent) {
                void answer?.then(unsent => unsent.cancel());
            }
        }
        this.#options.onIdle();
    }

    #closeMalformed(): void {
        if (this.#malformedStatus !== undefined && !this.#isClosing) {
            this.#isClosing = true;
            drainSocket(this.#socket, this.#options.clock);
            refuseSocket(this.#socket, this.#malformedStatus);
            this.#socket.destroySoon();
        }
    }
}

function getHeadLength(request: IncomingMessage): number {
    return request.rawHeaders.reduce((sum, text) => sum + text.length, request.url?.length ?? 0);
}

async function waitForEnd(response: ServerResponse): Promise<void> {
    if (!response.writableFinished && !response.destroyed) {
        await new Promise<void>(resolve => response.once("finish", resolve).once("close", resolve));
    }
}
