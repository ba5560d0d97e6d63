import { parseAddress } from "../utils/index.js";

/**
 * Whether a text is an IP address and a port.
 * @param text - The text.
 */
export function isAddress(text: string): boolean {
    try {
        parseAddress(text);
        return true;
    }
    catch {
        return false;
    }
}
