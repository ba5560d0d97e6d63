import type { PeerMethod, PeerMethods, PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** One host's way to its peers, whose answers can be slow. */
export class FakeHostTransport implements PeerTransport {
    /** How much longer answers are on their way, in milliseconds. */
    answerDelayMs = 0;
    readonly #transport: PeerTransport;
    readonly #clock: Clock;

    /**
     * @param transport - Sends the calls.
     * @param clock - The source of time.
     */
    constructor(transport: PeerTransport, clock: Clock) {
        this.#transport = transport;
        this.#clock = clock;
    }

    /**
     * Sends a call and waits for its result.
     * @param address - The peer's address.
     * @param method - The call.
     * @param params - Its parameters.
     * @param timeoutMs - How long to wait for the result, in milliseconds.
     */
    async send<M extends PeerMethod>(
        address: string,
        method: M,
        params: PeerMethods[M]["params"],
        timeoutMs: number,
    ): Promise<PeerMethods[M]["result"]> {
        const result = await this.#transport.send(address, method, params, timeoutMs);
        if (this.answerDelayMs > 0) {
            await this.#clock.wait(this.answerDelayMs);
        }
        return result;
    }
}
