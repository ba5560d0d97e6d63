import { buildConnector, Client } from "undici";
import type { Clock } from "../time/index.js";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
const BODY_IDLE_TIMEOUT_MS = 30_000;
/** The code of a reset, so that undici does not take it for the end of an answer. */
const RESET_CODE = "ERR_CONNECTION_RESET";

/** One connection to an upstream; it carries one request at a time. */
export class UpstreamConnection {
    readonly client: Client;
    readonly #clock: Clock;
    #provenTime = Number.NEGATIVE_INFINITY;
    #resume: () => void = () => {};
    #isIdle = false;

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
     * Puts in force how an answer that waits for its reader goes on when the other side has ended the connection.
     * @param resume - Parses what is left; it has all been received.
     */
    applyResume(resume: () => void): void {
        this.#resume = resume;
    }

    /** Records that a request takes this connection. */
    recordUse(): void {
        this.#isIdle = false;
    }

    /** Records that a whole answer has come over this connection just now; nothing more may come until its next request. */
    recordAnswer(): void {
        this.#isIdle = true;
        this.#provenTime = this.#clock.getTime();
    }

    /**
     * Whether a whole answer has come within a span of time.
     * @param spanMs - The span in milliseconds.
     */
    hasAnsweredWithin(spanMs: number): boolean {
        return this.#clock.getTime() - this.#provenTime <= spanMs;
    }

    /**
     * Prepares the ends of the connection before undici sees them: where an answer may end with its connection, it takes a
     * reset for that end, and throws if the answer waits for its reader.
     */
    #createConnector(): buildConnector.connector {
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        return (options, callback) =>
            connect(options, (...result) => {
                const [, socket] = result;
                socket?.once("error", (error: NodeJS.ErrnoException) => {
                    error.code = RESET_CODE;
                });
                socket?.once("end", () => this.#resume());
                socket?.on("readable", () => {
                    if (this.#isIdle && socket.readableLength > 0) {
                        socket.destroy();
                    }
                });
                callback(...result);
            });
    }

    /** Closes the connection at once; it is never used again. */
    close(): void {
        this.client.destroy().catch(() => {});
    }
}
