import type { ServerResponse } from "node:http";
import { FindingsError } from "../errors/index.js";
import { sendJson } from "./sendJson.js";

const STATUS_BAD_REQUEST = 400;

/**
 * Answers a control request that could not be carried out.
 * @param response - Where to.
 * @param error - What went wrong.
 */
export function sendFindings(response: ServerResponse, error: unknown): void {
    const findings = error instanceof FindingsError
        ? error.findings
        : [{ place: "(body)", message: error instanceof Error ? error.message : String(error) }];
    sendJson(response, STATUS_BAD_REQUEST, { findings });
}
