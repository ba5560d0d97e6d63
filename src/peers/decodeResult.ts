import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import { peerProtocol } from "./peerProtocol.js";

const decompress = promisify(gunzip);

/**
 * Decodes the result of a call; rejects one that is larger than results may be.
 * @param body - What was received.
 * @param encoding - The value of the Content-Encoding field; undefined if there is none.
 */
export async function decodeResult(body: Buffer, encoding: unknown): Promise<unknown> {
    const decoded = encoding === "gzip"
        ? await decompress(body, { maxOutputLength: peerProtocol.maxCallBytes })
        : body;
    return JSON.parse(decoded.toString()) as unknown;
}
