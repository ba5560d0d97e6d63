import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { parseAddress } from "./parseAddress.js";

/**
 * Starts a server on an address and returns its port; rejects if the address is not available.
 * @param server - The server.
 * @param address - The address, as "ip:port"; port 0 for any free port.
 */
export async function openServer(server: Server, address: string): Promise<number> {
    const { host, port } = parseAddress(address);
    server.listen(port, host);
    await once(server, "listening");
    return (server.address() as AddressInfo).port;
}
