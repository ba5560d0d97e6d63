import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerConnection } from "./CallerConnection.js";
import type { CallerConnectionsOptions } from "./CallerConnectionsOptions.js";
import { ConnectionLimit } from "./ConnectionLimit.js";

const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";

/** The connections of a listener for callers. */
export class CallerConnections {
    readonly #options: CallerConnectionsOptions;
    readonly #connections = new WeakMap<Socket, CallerConnection>();
    /** Connections with a request in progress. */
    readonly #busy = new Set<CallerConnection>();
    readonly #idleListeners: (() => void)[] = [];
    readonly #limit: ConnectionLimit<Socket>;
    #isDraining = false;
    #isStopped = false;

    /** @param options - Dependencies of the connections. */
    constructor(options: CallerConnectionsOptions) {
        this.#options = options;
        const { memory } = options;
        this.#limit = new ConnectionLimit({
            maxConnections: options.maxConnections ?? Number.POSITIVE_INFINITY,
            closeSlowest: () => memory?.closeSlowest() ?? false,
            onClosed: () => memory?.recordClosedConnection(),
        });
        options.server.on("connection", socket => {
            socket.once("close", () => this.#limit.remove(socket));
            this.#limit.add(socket);
        });
        options.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            const isOverflow = error.code === HEADER_OVERFLOW_CODE;
            this.#refuse(socket as Socket, isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request");
        });
        options.server.on("connect", (_request, socket) => {
            // Node has removed its own listener.
            socket.on("error", () => {});
            this.#refuse(socket as Socket, "405 Method Not Allowed");
        });
    }

    /**
     * Adds a request that has been read on its connection.
     * @param request - The request.
     * @param response - Its response.
     * @param prepared - The decoded request.
     */
    add(request: IncomingMessage, response: ServerResponse, prepared = this.#options.prepare(request)): void {
        const connection = this.#connections.get(request.socket) ?? this.#createConnection(request.socket);
        connection.add(request, response, prepared);
        if (connection.isBusy()) {
            this.#busy.add(connection);
            this.#limit.record(request.socket, true);
        }
        if (this.#isStopped) {
            connection.stop();
        }
    }

    /** From now on, closes each connection after an answer behind which no other request has been read. */
    drain(): void {
        this.#isDraining = true;
    }

    /** Reads no more requests from the connections with a request in progress, and closes each after its last answer. */
    stop(): void {
        this.drain();
        this.#isStopped = true;
        this.#busy.forEach(connection => connection.stop());
    }

    /**
     * Waits until no request is in progress. Closing the HTTP server earlier would cut responses that have ended but have not
     * been handed to the operating system, as it takes their connections for idle.
     */
    async waitForIdle(): Promise<void> {
        if (this.#busy.size > 0) {
            await new Promise<void>(resolve => this.#idleListeners.push(resolve));
        }
    }

    #createConnection(socket: Socket): CallerConnection {
        const { clock, memory } = this.#options;
        const connection: CallerConnection = new CallerConnection(socket, {
            clock,
            memory,
            isDraining: () => this.#isDraining,
            onIdle: () => {
                this.#limit.record(socket, false);
                this.#removeBusy(connection);
            },
        });
        this.#connections.set(socket, connection);
        return connection;
    }

    #removeBusy(connection: CallerConnection): void {
        this.#busy.delete(connection);
        if (this.#busy.size === 0) {
            this.#idleListeners.splice(0).forEach(listener => listener());
        }
    }

    #refuse(socket: Socket, status: string): void {
        const connection = this.#connections.get(socket) ?? this.#createConnection(socket);
        connection.refuse(status);
    }
}
