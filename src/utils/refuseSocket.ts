import type { Duplex } from "node:stream";

/**
 * Sends an error status on a connection whose request can't be parsed, and closes the connection.
 * @param socket - The connection.
 * @param status - The status code and reason phrase.
 */
export function refuseSocket(socket: Duplex, status: string): void {
    if (socket.writable) {
        socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    }
}
