import type { Server } from "node:http";

/**
 * Closes a server and all its connections immediately.
 * @param server - The server.
 */
export async function closeServer(server: Server): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
}
