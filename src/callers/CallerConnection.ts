import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { drainBody, refuseSocket } from "../utils/index.js";
import type { CallerConnectionOptions } from "./CallerConnectionOptions.js";
import type { PendingRequest } from "./PendingRequest.js";

/** Requests of one connection that run at the same time; each may hold the start of an answer in memory. */
const MAX_RUNNING_REQUESTS = 4;
/** Requests of one connection that are kept unanswered; while there are as many, nothing more is read from it. */
const MAX_PENDING_REQUESTS = 16;

/**
 * Runs the requests of one connection and sends the answers in the order of the requests. Requests that were passed on are
 * answered before the connection closes; those that were read but not passed on are dropped with it.
 */
export class CallerConnection {
    readonly #socket: Socket;
    readonly #options: CallerConnectionOptions;
    readonly #pending: PendingRequest[] = [];
    #isSending = false;
    #isClosing = false;
    #isPaused = false;
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
     */
    add(request: IncomingMessage, response: ServerResponse): void {
        if (this.#isClosing) {
            return;
        }
        const prepared = this.#options.prepare(request);
        this.#pending.push({ request, response, prepared, controller: new AbortController(), answer: undefined });
        if (this.#pending.length >= MAX_PENDING_REQUESTS) {
            this.#isPaused = true;
            this.#socket.pause();
        }
        this.#startRequests();
        void this.#sendAnswers();
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
        const isDraining = this.#options.isDraining();
        for (const [index, pending] of this.#pending.slice(0, MAX_RUNNING_REQUESTS).entries()) {
            const canStart = index === 0 || (pending.prepared.canRunAhead && !isDraining);
            if (pending.answer === undefined && !canStart) {
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
                await this.#sendAnswer(head);
                this.#pending.shift();
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
            this.#options.onIdle();
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
        const isLast = this.#pending[1]?.answer === undefined;
        if (!response.shouldKeepAlive || (isLast && (this.#options.isDraining() || !request.complete))) {
            this.#isClosing = true;
            response.setHeader("connection", "close");
        }
        await answer.send(response);
        await waitForEnd(response);
    }

    #restoreReading(): void {
        if (!this.#isPaused || this.#pending.length >= MAX_PENDING_REQUESTS) {
            return;
        }
        this.#isPaused = false;
        if (this.#socket.writableNeedDrain) {
            this.#socket.once("drain", () => this.#socket.resume());
            return;
        }
        this.#socket.resume();
    }

    #cancelRequests(): void {
        this.#isClosing = true;
        for (const [index, { controller, answer }] of this.#pending.entries()) {
            controller.abort(new Error("The caller has left."));
            const isBeingSent = index === 0 && this.#isSending;
            if (!isBeingSent) {
                void answer?.then(unsent => unsent.cancel());
            }
        }
        this.#options.onIdle();
    }

    #closeMalformed(): void {
        if (this.#malformedStatus !== undefined) {
            this.#isClosing = true;
            refuseSocket(this.#socket, this.#malformedStatus);
        }
    }
}

async function waitForEnd(response: ServerResponse): Promise<void> {
    if (!response.writableFinished && !response.destroyed) {
        await new Promise<void>(resolve => response.once("finish", resolve).once("close", resolve));
    }
}
