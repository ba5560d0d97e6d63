import type { Clock } from "../time/index.js";
import type { PeerMethod } from "./PeerMethod.js";
import type { PeerMethods } from "./PeerMethods.js";
import type { PeerTransport } from "./PeerTransport.js";

/** Sends calls to other entry hosts and remembers when one last got no answer. */
export class ObservedPeerTransport implements PeerTransport {
    readonly #transport: PeerTransport;
    readonly #clock: Clock;
    #failureTime = Number.NEGATIVE_INFINITY;

    /**
     * @param transport - Sends the calls.
     * @param clock - The source of time.
     */
    constructor(transport: PeerTransport, clock: Clock) {
        this.#transport = transport;
        this.#clock = clock;
    }

    /**
     * Whether a call got no answer within a span of time before now.
     * @param spanMs - The span, in milliseconds.
     */
    hasFailedWithin(spanMs: number): boolean {
        return this.#clock.getTime() - this.#failureTime <= spanMs;
    }

    /**
     * Sends a call and waits for its result; rejects with a PeerUnavailableError.
     * @param address - The peer's address, as "ip:port".
     * @param method - The method to call.
     * @param params - Its parameters.
     * @param timeoutMs - How long to wait for the result, in milliseconds.
     */
    async send<M extends PeerMethod>(
        address: string,
        method: M,
        params: PeerMethods[M]["params"],
        timeoutMs: number,
    ): Promise<PeerMethods[M]["result"]> {
        try {
            return await this.#transport.send(address, method, params, timeoutMs);
        }
        catch (error) {
            this.#failureTime = this.#clock.getTime();
            throw error;
        }
    }
}
