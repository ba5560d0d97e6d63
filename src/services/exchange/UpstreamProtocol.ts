import type { IncomingHttpHeaders } from "undici/types/header.js";
import type { Upstream } from "../../configuration/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { AnswerCheckResult } from "./AnswerCheckResult.js";
import type { UpstreamNotice } from "./UpstreamNotice.js";

/** Encodes requests to upstreams and classifies their responses. */
export interface UpstreamProtocol {
    /** Whether a response body may be delimited by the close of its connection. */
    readonly hasCloseDelimitedBodies: boolean;
    /**
     * Creates the header fields of a request, without the caller's key and without connection-level fields.
     * @param upstream - The upstream that it is sent to.
     * @param request - The request.
     * @param deadlineMs - Time until the first byte of the response is due, in milliseconds.
     */
    createHeaders(upstream: Upstream, request: ServiceRequest, deadlineMs: number): Record<string, string | string[]>;
    /**
     * Gets the id by which the upstream knows a request.
     * @param request - The request.
     */
    getRequestId(request: ServiceRequest): string;
    /**
     * Whether a response names the request that it answers.
     * @param headers - The header fields of the response.
     */
    hasRequestId(headers: IncomingHttpHeaders): boolean;
    /**
     * Classifies a response head.
     * @param upstream - The upstream that sent it.
     * @param request - The request that was sent.
     * @param status - The status code.
     * @param headers - The header fields.
     */
    checkAnswer(
        upstream: Upstream,
        request: ServiceRequest,
        status: number,
        headers: IncomingHttpHeaders,
    ): AnswerCheckResult;
    /**
     * Decodes what a response says about the upstream that sent it.
     * @param status - The status of the response.
     * @param headers - Its header fields.
     */
    decodeNotice(status: number, headers: IncomingHttpHeaders): UpstreamNotice;
}
