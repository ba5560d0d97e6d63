import { connect } from "node:net";
import type { Socket } from "node:net";

/** Time between two reads of a slow reader, in milliseconds. */
const SLOW_READ_INTERVAL_MS = 100;

/** What one connection of a crowd does. */
export interface CrowdConnection {
    /** The bytes that it sends, in this order. */
    readonly parts: readonly Buffer[];
    /** Bytes that it reads of its answers every 100 milliseconds; 0 if it never reads. */
    readonly readBytes: number;
}

/** Connections of clients that keep to no rule; each stays open until the crowd ends or the other side closes it. */
export class Crowd {
    readonly #sockets: Socket[] = [];
    readonly #timers: NodeJS.Timeout[] = [];

    /**
     * Opens connections and sends on all of them at once.
     * @param address - The address of the host.
     * @param connections - What each connection does.
     */
    open(address: string, connections: readonly CrowdConnection[]): void {
        const [host, port] = address.split(":") as [string, string];
        for (const { parts, readBytes } of connections) {
            const socket = connect({ host, port: Number(port) });
            socket.on("error", () => {});
            socket.pause();
            parts.forEach(part => socket.write(part));
            this.#sockets.push(socket);
            if (readBytes > 0) {
                // A paused socket's buffer is filled up to its mark only, so that the rest stays with the sender.
                this.#timers.push(setInterval(() => socket.read(readBytes), SLOW_READ_INTERVAL_MS));
            }
        }
    }

    /** Closes all connections. */
    close(): void {
        this.#timers.forEach(timer => clearInterval(timer));
        this.#sockets.forEach(socket => socket.destroy());
    }
}
