import { PRIVATE_REQUEST_FIELDS } from "../../outcomes/index.js";
import type { HeaderFields } from "../../outcomes/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";

/**
 * Creates the header fields of a request to an upstream, without the caller's key and without connection-level fields.
 * @param request - The request.
 * @param deadlineMs - Time until the first byte of the response is due, in milliseconds.
 */
export function createUpstreamHeaders(request: ServiceRequest, deadlineMs: number): Record<string, string | string[]> {
    const headers: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(request.headers as HeaderFields)) {
        if (!PRIVATE_REQUEST_FIELDS.has(name.toLowerCase())) {
            headers[name] = typeof value === "string" ? value : [...value];
        }
    }
    headers["x-request-id"] = request.requestId;
    if (request.account !== undefined) {
        headers["x-account"] = request.account;
    }
    headers["x-deadline-ms"] = String(Math.max(0, Math.floor(deadlineMs)));
    return headers;
}
