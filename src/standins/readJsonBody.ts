import type { IncomingMessage } from "node:http";

/**
 * Reads a request's body whole and parses it as JSON.
 * @param request - The request.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text) as unknown;
}
