import type { Socket } from "node:net";
import type { Clock } from "../time/index.js";

/** Time for the other side to close the connection after the last answer, in milliseconds. */
const LINGER_MS = 1_000;
/** Length of what is dropped at most; the rest is left unread, in bytes. */
const MAX_DROPPED_BYTES = 1024 * 1024;

/**
 * Parses no more requests of a server's connection and drops what still comes. Bytes that are unread when a connection is
 * closed reset it, which may cut its last answer.
 * @param socket - The connection; Node closes it after an answer with `connection: close`.
 * @param clock - The source of time.
 */
export function drainSocket(socket: Socket, clock: Clock): void {
    let length = 0;
    // Node's HTTP parser reads the connection by itself until a listener is added.
    socket.removeAllListeners("data").on("data", (chunk: Buffer) => {
        length += chunk.length;
        if (length > MAX_DROPPED_BYTES) {
            socket.pause();
        }
    });
    socket.resume();
    // Node calls this after the last answer; its own method doesn't wait for the other side.
    socket.destroySoon = () =>
        void socket.end(() => {
            const timer = clock.schedule(LINGER_MS, () => socket.destroy());
            socket.once("close", () => timer.cancel());
        });
}
