import { buildConnector, Client } from "undici";
import type { Clock } from "../time/index.js";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
const BODY_IDLE_TIMEOUT_MS = 30_000;

/** One connection to an upstream; it carries one request at a time. */
export class UpstreamConnection {
    readonly client: Client;
    readonly #clock: Clock;
    #provenTime = Number.NEGATIVE_INFINITY;
    #isReset = false;

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

    /** Whether the connection has ended with an error, so that an answer that ends with it is not whole. */
    isReset(): boolean {
        return this.#isReset;
    }

    /** Records that a whole answer has come over this connection just now. */
    recordAnswer(): void {
        this.#provenTime = this.#clock.getTime();
    }

    /**
     * Whether a whole answer has come within a span of time.
     * @param spanMs - The span in milliseconds.
     */
    isProvenWithin(spanMs: number): boolean {
        return this.#clock.getTime() - this.#provenTime <= spanMs;
    }

    /** Notes errors before undici does, which takes a reset for the end of an answer without a length. */
    #createConnector(): buildConnector.connector {
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        return (options, callback) =>
            connect(options, (...result) => {
                result[1]?.once("error", () => {
                    this.#isReset = true;
                });
                callback(...result);
            });
    }

    /** Closes the connection at once; it is never used again. */
    close(): void {
        this.client.destroy().catch(() => {});
    }
}
