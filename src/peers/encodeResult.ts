import { promisify } from "node:util";
import { constants, gzip } from "node:zlib";
import type { EncodedResult } from "./EncodedResult.js";

/** Results below this size are not compressed, in bytes: they fit into three packets. */
const MIN_COMPRESSED_BYTES = 4_096;

const compress = promisify(gzip);

/**
 * Encodes the result of a call. A large one, such as a copy of the configuration, is compressed if the caller accepts that, as several
 * hosts fetch it over slow links at the same time.
 * @param result - The result, as JSON.
 * @param acceptedEncodings - The value of the caller's Accept-Encoding field; undefined if it sent none.
 */
export async function encodeResult(result: string, acceptedEncodings: string | undefined): Promise<EncodedResult> {
    const body = Buffer.from(result);
    if (body.length < MIN_COMPRESSED_BYTES || acceptedEncodings?.includes("gzip") !== true) {
        return { body, headers: {} };
    }
    const compressed = await compress(body, { level: constants.Z_BEST_SPEED });
    return { body: compressed, headers: { "content-encoding": "gzip" } };
}
