import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import type { Clock } from "../../time/index.js";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/** A connection on which the upstream has refused this many requests is not used again, as it remembers their ids. */
const MAX_REFUSED_IDS = 64;
const BODY_IDLE_TIMEOUT_MS = 30_000;
/** Replaces the error code ECONNRESET, which undici treats as the end of a close-delimited body. */
const RESET_CODE = "ERR_CONNECTION_RESET";

/** A connection to an upstream that carries one request at a time. */
export class UpstreamConnection {
    readonly client: Client;
    readonly #clock: Clock;
    #lastAnswerTime = Number.NEGATIVE_INFINITY;
    #resume: () => void = () => {};
    #socket: Socket | undefined;
    #onReceived: () => void = () => {};
    #isIdle = false;
    #isUsed = false;
    readonly #refusedIds = new Set<string>();

    /**
     * @param address - The upstream's address, as "ip:port".
     * @param clock - The source of time.
     */
    constructor(address: string, clock: Clock) {
        this.#clock = clock;
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: this.#createConnector(),
            headersTimeout: 0,
            bodyTimeout: BODY_IDLE_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_MS,
        });
    }

    /**
     * Sets the callback that resumes a paused response when the upstream ends the connection.
     * @param resume - Resumes parsing; the remaining bytes have all been received.
     */
    applyResume(resume: () => void): void {
        this.#resume = resume;
    }

    /**
     * Sets the callback that runs when bytes have been received, before they are parsed.
     * @param onReceived - The callback.
     */
    applyReceiveListener(onReceived: () => void): void {
        this.#onReceived = onReceived;
    }

    /** Gets the number of bytes received so far; some of them may not be parsed yet. */
    getReceivedBytes(): number {
        return this.#socket?.bytesRead ?? 0;
    }

    /** Records that a request uses this connection again. */
    recordUse(): void {
        this.#isIdle = false;
        this.#isUsed = true;
    }

    /** Whether an earlier request used this connection, so that a repeated answer to it may arrive. */
    hasEarlierRequest(): boolean {
        return this.#isUsed;
    }

    /**
     * Records that the upstream refused a request on this connection; the same request must not be sent on it again, as a repeated
     * refusal would be taken for the answer to it.
     * @param requestId - The id by which the upstream knows the request.
     */
    recordRefusal(requestId: string): void {
        this.#refusedIds.add(requestId);
    }

    /**
     * Whether a request may be sent on this connection.
     * @param requestId - The id by which the upstream knows the request.
     */
    isUsableFor(requestId: string): boolean {
        return !this.#refusedIds.has(requestId);
    }

    /** Whether the connection may carry further requests. */
    isReusable(): boolean {
        return this.#refusedIds.size < MAX_REFUSED_IDS;
    }

    /** Records the end of a complete response; bytes that arrive before the next request close the connection. */
    recordAnswer(): void {
        this.#isIdle = true;
        this.#lastAnswerTime = this.#clock.getTime();
    }

    /**
     * Whether a complete response was received within a span of time before now.
     * @param spanMs - The span, in milliseconds.
     */
    hasAnsweredWithin(spanMs: number): boolean {
        return this.#clock.getTime() - this.#lastAnswerTime <= spanMs;
    }

    /**
     * Handles the end of the connection before undici does: undici would treat a reset as the end of a close-delimited body,
     * and would throw if the connection ends while the response is paused.
     */
    #createConnector(): buildConnector.connector {
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        return (options, callback) =>
            connect(options, (...result) => {
                const [, socket] = result;
                this.#socket = socket ?? undefined;
                socket?.once("error", (error: NodeJS.ErrnoException) => {
                    error.code = RESET_CODE;
                });
                socket?.once("end", () => this.#resume());
                socket?.on("readable", () => {
                    if (this.#isIdle && socket.readableLength > 0) {
                        socket.destroy();
                        return;
                    }
                    this.#onReceived();
                });
                callback(...result);
            });
    }

    /** Closes the connection at once. */
    close(): void {
        this.client.destroy().catch(() => {});
    }
}
