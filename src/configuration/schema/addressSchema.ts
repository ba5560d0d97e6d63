import { z } from "zod";
import { parseAddress } from "../../utils/index.js";

/** Schema of an address with an IP number and a port, as "ip:port". */
export const addressSchema = z.string().refine(isAddress, "must be an IP number and a port, as \"127.0.0.1:8080\"");

function isAddress(text: string): boolean {
    try {
        return parseAddress(text).port > 0;
    }
    catch {
        return false;
    }
}
