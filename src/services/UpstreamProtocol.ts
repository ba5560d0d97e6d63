import type { IncomingHttpHeaders } from "undici/types/header.js";
import type { Upstream } from "../configuration/index.js";
import type { AnswerCheckResult } from "./AnswerCheckResult.js";
import type { ServiceRequest } from "./ServiceRequest.js";

/** How requests to upstreams and their answers look in HTTP. */
export interface UpstreamProtocol {
    /** Whether an answer without a length may end with its connection. */
    readonly hasCloseDelimitedBodies: boolean;
    /**
     * Creates the header fields of a request: never a caller's key, never fields of the caller's connection.
     * @param upstream - Where it goes.
     * @param request - The request.
     * @param deadlineMs - Time until the first byte of the answer is due, in milliseconds.
     */
    createHeaders(upstream: Upstream, request: ServiceRequest, deadlineMs: number): Record<string, string | string[]>;
    /**
     * Checks what the head of an answer stands for.
     * @param upstream - Where it comes from.
     * @param request - The request that it should answer.
     * @param status - Its status.
     * @param headers - Its header fields.
     */
    checkAnswer(
        upstream: Upstream,
        request: ServiceRequest,
        status: number,
        headers: IncomingHttpHeaders,
    ): AnswerCheckResult;
}
