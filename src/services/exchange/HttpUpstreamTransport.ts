import type { Upstream } from "../../configuration/index.js";
import type { Clock } from "../../time/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { ProductUpstreamProtocol } from "./ProductUpstreamProtocol.js";
import type { UpstreamAnswer } from "./UpstreamAnswer.js";
import { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
import { UpstreamConnections } from "./UpstreamConnections.js";
import { UpstreamExchange } from "./UpstreamExchange.js";
import type { UpstreamProtocol } from "./UpstreamProtocol.js";
import type { UpstreamSendOptions } from "./UpstreamSendOptions.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** Sends requests to upstreams by HTTP/1.1, one request at a time on each connection. */
export class HttpUpstreamTransport implements UpstreamTransport {
    readonly #clock: Clock;
    readonly #protocol: UpstreamProtocol;
    readonly #connections = new Map<string, UpstreamConnections>();

    /**
     * @param clock - The source of time.
     * @param protocol - Encodes requests and checks responses; the product's own protocol by default.
     */
    constructor(clock: Clock, protocol: UpstreamProtocol = new ProductUpstreamProtocol()) {
        this.#clock = clock;
        this.#protocol = protocol;
    }

    /**
     * Sends one request; never rejects.
     * @param upstream - The upstream to send to.
     * @param request - The request to send.
     * @param options - Limits of this attempt.
     */
    async send(
        upstream: Upstream,
        request: ServiceRequest,
        options: UpstreamSendOptions,
    ): Promise<UpstreamAnswer> {
        if (options.signal.aborted) {
            return { kind: UpstreamAnswerKind.ConnectFailed, detail: "The request was cancelled before it was sent." };
        }
        const connections = this.#getConnections(upstream);
        const connection = connections.claim(upstream, this.#protocol.getRequestId(request), options.freshConnection);
        if (connection === undefined) {
            return { kind: UpstreamAnswerKind.ConnectFailed, detail: "All connections to the upstream are in use." };
        }
        const exchange = new UpstreamExchange(connection, request, {
            clock: this.#clock,
            protocol: this.#protocol,
            upstream,
            firstByteTimeoutMs: options.firstByteTimeoutMs,
            answerTimeoutMs: options.answerTimeoutMs,
            deadlineMs: options.deadlineMs,
            signal: options.signal,
            onEnd: isWhole => isWhole ? connections.release(connection) : connections.remove(connection),
        });
        return await exchange.run();
    }

    /**
     * Closes idle connections to an upstream, for example after a timeout on one of them.
     * @param upstream - The upstream.
     */
    closeIdle(upstream: Upstream): void {
        const connections = this.#connections.get(upstream.address);
        connections?.closeIdle();
        if (connections?.getCount() === 0) {
            this.#connections.delete(upstream.address);
        }
    }

    /** Closes all connections and interrupts the requests that run on them. */
    close(): void {
        this.#connections.forEach(connections => connections.close());
        this.#connections.clear();
    }

    /**
     * Gets the number of connections to an upstream, idle and busy.
     * @param upstream - The upstream.
     */
    getConnectionCount(upstream: Upstream): number {
        return this.#connections.get(upstream.address)?.getCount() ?? 0;
    }

    #getConnections(upstream: Upstream): UpstreamConnections {
        let connections = this.#connections.get(upstream.address);
        if (connections === undefined) {
            connections = new UpstreamConnections(upstream.address, this.#clock);
            this.#connections.set(upstream.address, connections);
        }
        return connections;
    }
}
