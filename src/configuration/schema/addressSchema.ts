import { isIP } from "node:net";
import { z } from "zod";

const ADDRESS_PATTERN = /^(?:\[(?<ipv6>.+)\]|(?<ipv4>[^:]+)):(?<port>\d{1,5})$/;
const MAX_PORT = 65_535;

/** An address of an IP number and a port, as "ip:port". */
export const addressSchema = z.string().refine(isAddress, "must be an IP number and a port, as \"127.0.0.1:8080\"");

function isAddress(text: string): boolean {
    const groups = ADDRESS_PATTERN.exec(text)?.groups;
    if (groups === undefined) {
        return false;
    }
    const port = Number(groups.port);
    return isIP(groups.ipv6 ?? groups.ipv4 ?? "") !== 0 && port >= 1 && port <= MAX_PORT;
}
