import { PeerUnavailableError } from "../errors/index.js";
import type { PeerForwarder } from "../forwarding/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { PeerMethod, PeerMethods, PeerTransport } from "../peers/index.js";
import type { CallerRequest } from "../requests/index.js";
import type { ServiceAnswer, ServiceRequest } from "../services/index.js";
import type { Clock } from "../time/index.js";
import type { FakeHost } from "./FakeHost.js";
import { FakeLink } from "./FakeLink.js";

const DATA_TIMEOUT_MS = 30_000;
/** Headers of a call and of its answer, in bytes. */
const HEADER_BYTES = 300;

interface FakeLinks {
    readonly up: FakeLink;
    readonly down: FakeLink;
}

/** A network between entry hosts in memory; each direction between two hosts can be cut separately. */
export class FakeNetwork {
    /** One-way delay between two hosts, in milliseconds. */
    delayMs = 1;
    readonly #clock: Clock;
    readonly #hosts = new Map<string, FakeHost>();
    readonly #cuts = new Set<string>();
    readonly #frozen = new Set<string>();
    readonly #links = new Map<string, FakeLinks>();
    readonly #bytesPerMs: number;

    /**
     * @param clock - The source of time.
     * @param bytesPerMs - Rate of each host's link in each direction, in bytes per millisecond; unlimited if left out.
     */
    constructor(clock: Clock, bytesPerMs = Number.POSITIVE_INFINITY) {
        this.#clock = clock;
        this.#bytesPerMs = bytesPerMs;
    }

    /**
     * Gets the links of a host, which carry calls and their answers.
     * @param address - The host's address.
     */
    getLinks(address: string): FakeLinks {
        const known = this.#links.get(address);
        if (known !== undefined) {
            return known;
        }
        const links = {
            up: new FakeLink(this.#clock, this.#bytesPerMs),
            down: new FakeLink(this.#clock, this.#bytesPerMs),
        };
        this.#links.set(address, links);
        return links;
    }

    /**
     * Adds a host, or replaces the host at that address.
     * @param address - Its peer address.
     * @param host - The interfaces that answer.
     */
    addHost(address: string, host: FakeHost): void {
        this.#hosts.set(address, host);
    }

    /**
     * Removes a host, as in a crash: connections to it are refused.
     * @param address - Its peer address.
     */
    removeHost(address: string): void {
        this.#hosts.delete(address);
    }

    /**
     * Cuts one direction: messages from one address no longer reach the other.
     * @param from - The sender's address.
     * @param to - The receiver's address.
     */
    closeDirection(from: string, to: string): void {
        this.#cuts.add(`${from}>${to}`);
    }

    /**
     * Restores one direction.
     * @param from - The sender's address.
     * @param to - The receiver's address.
     */
    openDirection(from: string, to: string): void {
        this.#cuts.delete(`${from}>${to}`);
    }

    /**
     * Drops all messages to and from a host without closing its connections, as with a frozen process.
     * @param address - Its peer address.
     */
    stopAnswers(address: string): void {
        this.#frozen.add(address);
    }

    /**
     * Delivers the messages to and from a host again.
     * @param address - Its peer address.
     */
    startAnswers(address: string): void {
        this.#frozen.delete(address);
    }

    /**
     * Creates the transport of one host for calls.
     * @param from - The host's own address.
     */
    createTransport(from: string): PeerTransport {
        return {
            send: async <M extends PeerMethod>(
                to: string,
                method: M,
                params: PeerMethods[M]["params"],
                timeoutMs: number,
            ) => {
                const body = JSON.stringify(params);
                const run = async (host: FakeHost): Promise<string> => {
                    const result = await host.handlers.run(method, JSON.parse(body) as PeerMethods[M]["params"]);
                    const answer = JSON.stringify(result ?? null);
                    await this.#sendBytes(to, from, answer.length);
                    return answer;
                };
                const answer = await this.#send(from, to, timeoutMs, run, body.length);
                return JSON.parse(answer) as PeerMethods[M]["result"];
            },
        };
    }

    /**
     * Creates the forwarder of one host for requests.
     * @param from - The host's own address.
     */
    createForwarder(from: string): PeerForwarder {
        return {
            runService: (to: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> =>
                this.#send(from, to, DATA_TIMEOUT_MS, async host => await host.serviceRunner!.run(request, signal)),
            runAccount: (to: string, request: CallerRequest, signal: AbortSignal): Promise<Outcome> =>
                this.#send(from, to, DATA_TIMEOUT_MS, async host => await host.accountRunner!.run(request, signal)),
        };
    }

    /** Waits until a call or an answer has been sent over both hosts' links. */
    async #sendBytes(from: string, to: string, bytes: number): Promise<void> {
        await this.getLinks(from).up.send(bytes + HEADER_BYTES);
        if (!this.#isCut(from, to)) {
            await this.getLinks(to).down.send(bytes + HEADER_BYTES);
        }
    }

    async #send<R>(
        from: string,
        to: string,
        timeoutMs: number,
        run: (host: FakeHost) => Promise<R>,
        bytes?: number,
    ): Promise<R> {
        const deadline = this.#clock.getTime() + timeoutMs;
        if (bytes !== undefined) {
            await this.#sendBytes(from, to, bytes);
        }
        await this.#clock.wait(this.delayMs);
        if (this.#isCut(from, to)) {
            return await this.#refuseAfter(deadline, to);
        }
        const host = this.#hosts.get(to);
        if (host === undefined) {
            throw new PeerUnavailableError(`${to} refused the connection.`, true);
        }
        const result = await this.#runUntil(deadline, to, run(host));
        await this.#clock.wait(this.delayMs);
        if (this.#isCut(to, from) || this.#hosts.get(to) !== host) {
            return await this.#refuseAfter(deadline, to);
        }
        return result;
    }

    async #runUntil<R>(deadline: number, to: string, work: Promise<R>): Promise<R> {
        const controller = new AbortController();
        const timeout = this.#clock.wait(Math.max(0, deadline - this.#clock.getTime()), controller.signal).then(() => {
            throw new PeerUnavailableError(`${to} did not answer.`, false);
        });
        timeout.catch(() => {});
        try {
            return await Promise.race([work, timeout]);
        }
        finally {
            controller.abort();
        }
    }

    #isCut(from: string, to: string): boolean {
        return this.#cuts.has(`${from}>${to}`) || this.#frozen.has(from) || this.#frozen.has(to);
    }

    async #refuseAfter(deadline: number, to: string): Promise<never> {
        await this.#clock.wait(Math.max(0, deadline - this.#clock.getTime()));
        throw new PeerUnavailableError(`${to} did not answer.`, false);
    }
}
