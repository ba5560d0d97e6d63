import type { Duplex } from "node:stream";

/**
 * Answers on a connection whose request can't be read, and closes it.
 * @param socket - The connection.
 * @param status - Status code and reason phrase.
 */
export function refuseSocket(socket: Duplex, status: string): void {
    if (socket.writable) {
        socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    }
}
