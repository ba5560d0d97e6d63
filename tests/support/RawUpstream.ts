import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { Upstream } from "../../src/configuration/index.js";

const HEAD_END = "\r\n\r\n";
const SLOTS = 4;
/** Bytes after which sending stops, more than any test needs: a service host that reads without limit must not fill the memory. */
const MAX_SENT_BYTES = 256 * 1024 * 1024;

/** An upstream on loopback that answers requests with raw bytes, for tests. */
export class RawUpstream {
    /** All connections so far, oldest first. */
    readonly sockets: Socket[] = [];
    /** The heads of the received requests, oldest first. */
    readonly requests: string[] = [];
    /** Answers a request on its connection. */
    listener: (socket: Socket, head: string) => void = () => {};
    /** Bytes written to connections by `sendRepeatedly`. */
    sentBytes = 0;
    readonly #server: Server;

    /** Creates the upstream; it does not listen yet. */
    constructor() {
        this.#server = createServer(socket => this.#addSocket(socket));
    }

    /** Starts to listen. */
    async start(): Promise<void> {
        this.#server.listen(0, "127.0.0.1");
        await once(this.#server, "listening");
    }

    /** Closes all connections and stops listening. */
    stop(): void {
        this.#server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /**
     * Gets the upstream's configuration.
     * @param name - Its name.
     */
    getUpstream(name = "u0"): Upstream {
        const { port } = this.#server.address() as AddressInfo;
        return { name, address: `127.0.0.1:${port}`, zone: "a", slots: SLOTS, connections: SLOTS };
    }

    /** Gets the number of connections that are open. */
    getOpenCount(): number {
        return this.sockets.filter(socket => !socket.destroyed).length;
    }

    /**
     * Sends the same bytes repeatedly until the connection closes.
     * @param socket - The connection.
     * @param text - The bytes.
     * @param pauseMs - Time between two writes, in milliseconds; 0 to send as fast as the connection allows.
     */
    sendRepeatedly(socket: Socket, text: string, pauseMs: number): void {
        const sendMore = (): void => {
            if (socket.destroyed || this.sentBytes > MAX_SENT_BYTES) {
                return;
            }
            this.sentBytes += text.length;
            const isWritable = socket.write(text, "latin1");
            if (pauseMs > 0) {
                setTimeout(sendMore, pauseMs);
            }
            else if (isWritable) {
                setImmediate(sendMore);
            }
            else {
                socket.once("drain", sendMore);
            }
        };
        sendMore();
    }

    #addSocket(socket: Socket): void {
        this.sockets.push(socket);
        socket.on("error", () => {});
        let received = "";
        socket.on("data", (chunk: Buffer) => {
            received += chunk.toString("latin1");
            for (let end = received.indexOf(HEAD_END); end >= 0; end = received.indexOf(HEAD_END)) {
                const head = received.slice(0, end);
                const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
                if (received.length < end + HEAD_END.length + length) {
                    return;
                }
                received = received.slice(end + HEAD_END.length + length);
                this.requests.push(head);
                this.listener(socket, head);
            }
        });
    }
}
