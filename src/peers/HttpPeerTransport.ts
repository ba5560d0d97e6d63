import { JSONRPCClient } from "json-rpc-2.0";
import type { Clock } from "../time/index.js";
import { createPeerError } from "./createPeerError.js";
import { decodeResult } from "./decodeResult.js";
import type { HttpPeerOptions } from "./HttpPeerOptions.js";
import type { PeerConnections } from "./PeerConnections.js";
import type { PeerMethod } from "./PeerMethod.js";
import type { PeerMethods } from "./PeerMethods.js";
import { peerProtocol } from "./peerProtocol.js";
import type { PeerTraffic } from "./PeerTraffic.js";
import type { PeerTransport } from "./PeerTransport.js";

const OK_STATUS = 200;

interface CallTarget {
    readonly address: string;
    readonly method: PeerMethod;
    readonly signal: AbortSignal;
    /** The error of the HTTP client, kept because the JSON-RPC client passes on its message only. */
    error?: unknown;
}

/** Sends JSON-RPC calls to other entry hosts over persistent HTTP connections. */
export class HttpPeerTransport implements PeerTransport {
    readonly #connections: PeerConnections;
    readonly #clock: Clock;
    readonly #secret: string;
    readonly #zoneHeaders: Readonly<Record<string, string>>;
    readonly #traffic: PeerTraffic | undefined;
    readonly #client: JSONRPCClient<CallTarget>;

    /** @param options - Connections, clock and the secret that all entry hosts share. */
    constructor(options: HttpPeerOptions) {
        this.#connections = options.connections;
        this.#clock = options.clock;
        this.#secret = options.secret;
        this.#zoneHeaders = options.zone === undefined ? {} : { [peerProtocol.zoneHeader]: options.zone };
        this.#traffic = options.traffic;
        this.#client = new JSONRPCClient<CallTarget>((payload, target) => this.#sendPayload(payload, target));
    }

    /**
     * Sends a call and waits for its result.
     * @param address - The peer's address.
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
        const start = this.#clock.getTime();
        let isAnswered = false;
        const controller = new AbortController();
        const target: CallTarget = { address, method, signal: controller.signal };
        const timer = this.#clock.schedule(timeoutMs, () => controller.abort(new Error("The call timed out.")));
        try {
            const result = await this.#client.request(method, params, target);
            isAnswered = true;
            return result;
        }
        catch (error) {
            if (controller.signal.aborted) {
                this.#connections.remove(address);
            }
            throw createPeerError(address, target.error ?? error);
        }
        finally {
            timer.cancel();
            this.#traffic?.recordEnd(this.#clock.getTime() - start, isAnswered);
        }
    }

    async #sendPayload(payload: unknown, target: CallTarget): Promise<void> {
        const body = JSON.stringify(payload);
        this.#traffic?.recordCall(target.address, target.method, Buffer.byteLength(body));
        try {
            const response = await this.#connections.get(target.address).request({
                method: "POST",
                path: peerProtocol.callPath,
                headers: {
                    "content-type": "application/json",
                    "accept-encoding": "gzip",
                    [peerProtocol.secretHeader]: this.#secret,
                    ...this.#zoneHeaders,
                },
                body,
                signal: target.signal,
            });
            const received = Buffer.from(await response.body.arrayBuffer());
            if (response.statusCode !== OK_STATUS) {
                throw new Error(`The call was answered with status ${response.statusCode}.`);
            }
            this.#client.receive(await decodeResult(received, response.headers["content-encoding"]) as never);
        }
        catch (error) {
            target.error = error;
            throw error;
        }
    }
}
