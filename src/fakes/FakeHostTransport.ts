import { PeerUnavailableError } from "../errors/index.js";
import type { PeerMethod, PeerMethods, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";

/** One host's transport to its peers, which can lose calls and delay answers. */
export class FakeHostTransport implements PeerTransport {
    /** Additional delay of answers, in milliseconds. */
    answerDelayMs = 0;
    /** The share of calls that are lost, from 0 to 1. */
    lossShare = 0;
    /** Whether the bytes of calls are counted. */
    countsBytes = false;
    /** Bytes of calls sent and of their results, as JSON. */
    bytes = 0;
    readonly #transport: PeerTransport;
    readonly #clock: Clock;
    readonly #random: RandomSource;

    /**
     * @param transport - Sends the calls.
     * @param clock - The source of time.
     * @param random - Selects the calls that are lost.
     */
    constructor(transport: PeerTransport, clock: Clock, random: RandomSource) {
        this.#transport = transport;
        this.#clock = clock;
        this.#random = random;
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
        if (this.lossShare > 0 && this.#random.getNext() < this.lossShare) {
            await this.#clock.wait(timeoutMs);
            throw new PeerUnavailableError(`${address} did not answer.`, false);
        }
        const result = await this.#transport.send(address, method, params, timeoutMs);
        if (this.countsBytes) {
            this.bytes += JSON.stringify(params).length + JSON.stringify(result).length;
        }
        if (this.answerDelayMs > 0) {
            await this.#clock.wait(this.answerDelayMs);
        }
        return result;
    }
}
