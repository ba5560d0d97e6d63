import { once } from "node:events";
import type { Server as HttpServer } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** The connections of an upstream stand-in, with faults at the level of TCP. */
export class UpstreamConnections {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    readonly #silent = new WeakSet<Socket>();
    #port = 0;

    /**
     * @param httpServer - Serves what comes over the connections.
     * @param limit - Connections at once; more are closed.
     */
    constructor(httpServer: HttpServer, limit: number) {
        this.#server = createServer({ noDelay: true }, socket => {
            this.#addSocket(socket);
            httpServer.emit("connection", socket);
        });
        this.#server.maxConnections = limit;
    }

    /** Gets the number of open connections. */
    getCount(): number {
        return this.#sockets.size;
    }

    /**
     * Starts to accept connections on loopback and returns the port.
     * @param port - The port; 0 for any that is free.
     */
    async start(port: number): Promise<number> {
        this.#server.listen(port, LOOPBACK);
        await once(this.#server, "listening");
        this.#port = (this.#server.address() as AddressInfo).port;
        return this.#port;
    }

    /** Stops accepting connections; the port then refuses them. Open connections stay. */
    stopAccepting(): void {
        if (this.#server.listening) {
            this.#server.close();
        }
    }

    /** Starts to accept connections again on the same port. */
    startAccepting(): void {
        if (!this.#server.listening) {
            this.#server.listen(this.#port, LOOPBACK);
        }
    }

    /** Closes all connections at once, as a crash does. */
    closeAll(): void {
        for (const socket of this.#sockets) {
            socket.resetAndDestroy();
        }
    }

    /** Stops all traffic on the connections that are open now, without closing them. */
    stopTraffic(): void {
        for (const socket of this.#sockets) {
            this.#silent.add(socket);
            socket.cork();
        }
    }

    /**
     * Whether a connection has gone silent.
     * @param socket - The connection.
     */
    isSilent(socket: Socket): boolean {
        return this.#silent.has(socket);
    }

    #addSocket(socket: Socket): void {
        this.#sockets.add(socket);
        socket.on("close", () => this.#sockets.delete(socket));
        socket.on("error", () => socket.destroy());
    }
}
