import type { IncomingMessage } from "node:http";
import { FuchsiapathError } from "../errors/index.js";
import { readBody } from "../utils/index.js";

const MAX_BODY_BYTES = 16_777_216;

/**
 * Reads a request's body whole and parses it as JSON; an empty body counts as an empty object.
 * @param request - The request.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (body === undefined) {
        throw new FuchsiapathError(`The body is longer than ${MAX_BODY_BYTES} bytes.`);
    }
    return body.length === 0 ? {} : JSON.parse(body.toString("utf8")) as unknown;
}
