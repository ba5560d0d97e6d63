import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

const LOOPBACK = "127.0.0.1";

/**
 * Starts to listen on loopback and returns the port.
 * @param server - The server.
 * @param port - The port; 0 for any that is free.
 */
export async function startListening(server: Server, port: number): Promise<number> {
    server.listen(port, LOOPBACK);
    await once(server, "listening");
    return (server.address() as AddressInfo).port;
}
