import type { ServerResponse } from "node:http";

/**
 * Sends a value as JSON.
 * @param response - Where to.
 * @param status - The HTTP status.
 * @param value - The value.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    response.end(body);
}
