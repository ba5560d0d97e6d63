import type { Server } from "node:http";

/**
 * Stops a server and closes its connections.
 * @param server - The server.
 */
export async function stopListening(server: Server): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
}
