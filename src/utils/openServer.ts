import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { parseAddress } from "./parseAddress.js";

/**
 * Opens a server for connections and returns its port; rejects if the address can't be had.
 * @param server - The server.
 * @param address - "ip:port"; port 0 for any that is free.
 */
export async function openServer(server: Server, address: string): Promise<number> {
    const { host, port } = parseAddress(address);
    server.listen(port, host);
    await once(server, "listening");
    return (server.address() as AddressInfo).port;
}
