import { isIP } from "node:net";
import { FuchsiapathError } from "../errors/index.js";
import type { SocketAddress } from "./SocketAddress.js";

const MAX_PORT = 65_535;

/**
 * Parses an address that consists of an IP address and a port; throws a FuchsiapathError if it is invalid.
 * @param address - For example "127.0.0.1:8080".
 */
export function parseAddress(address: string): SocketAddress {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    const isPort = Number.isInteger(port) && port >= 0 && port <= MAX_PORT;
    if (separator < 0 || isIP(host) === 0 || !isPort) {
        throw new FuchsiapathError(`"${address}" is not an IP number and a port.`);
    }
    return { host, port };
}
