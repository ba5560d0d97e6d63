import type { IncomingHttpHeaders } from "undici/types/header.js";
import type { Upstream } from "../../configuration/index.js";
import { parseRequestRate, parseRetryAfter } from "../../utils/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import { AnswerCheckKind } from "./AnswerCheckKind.js";
import type { AnswerCheckResult } from "./AnswerCheckResult.js";
import { createUpstreamHeaders } from "./createUpstreamHeaders.js";
import type { UpstreamNotice } from "./UpstreamNotice.js";
import type { UpstreamProtocol } from "./UpstreamProtocol.js";

const REQUEST_ID_HEADER = "x-request-id";
const NOT_RUN_HEADER = "x-request-not-run";
/** Requests per second that the upstream accepts from all hosts together, a decimal number. */
const REQUEST_RATE_HEADER = "x-upstream-request-rate";
/** "1" if the upstream leaves and wants no more requests. */
const LEAVING_HEADER = "x-upstream-leaving";
const STATUS_UNAVAILABLE = 503;
const SHED_STATUSES: ReadonlySet<number> = new Set([429, STATUS_UNAVAILABLE]);

/** The product's own protocol of header fields. */
export class ProductUpstreamProtocol implements UpstreamProtocol {
    readonly hasCloseDelimitedBodies = false;

    /**
     * Creates the header fields of a request.
     * @param _upstream - The upstream that it is sent to.
     * @param request - The request.
     * @param deadlineMs - Time until the first byte of the response is due, in milliseconds.
     */
    createHeaders(_upstream: Upstream, request: ServiceRequest, deadlineMs: number): Record<string, string | string[]> {
        return createUpstreamHeaders(request, deadlineMs);
    }

    /**
     * Gets the id by which the upstream knows a request.
     * @param request - The request.
     */
    getRequestId(request: ServiceRequest): string {
        return request.requestId;
    }

    /**
     * Whether a response names the request that it answers.
     * @param headers - The header fields of the response.
     */
    hasRequestId(headers: IncomingHttpHeaders): boolean {
        return headers[REQUEST_ID_HEADER] !== undefined;
    }

    /**
     * Classifies a response head; a 429 or 503 counts as not run only with the header field that says so.
     * @param _upstream - The upstream that sent it.
     * @param request - The request that was sent.
     * @param status - The status code.
     * @param headers - The header fields.
     */
    checkAnswer(
        _upstream: Upstream,
        request: ServiceRequest,
        status: number,
        headers: IncomingHttpHeaders,
    ): AnswerCheckResult {
        if (this.hasRequestId(headers) && headers[REQUEST_ID_HEADER] !== request.requestId) {
            return { kind: AnswerCheckKind.Mismatched, detail: "the response belongs to another request" };
        }
        return SHED_STATUSES.has(status) && headers[NOT_RUN_HEADER] === "1"
            ? { kind: AnswerCheckKind.Shed, retryAfterMs: parseRetryAfter(headers["retry-after"]) }
            : { kind: AnswerCheckKind.Answered };
    }

    /**
     * Decodes what a response says about the upstream that sent it.
     * @param status - The status of the response.
     * @param headers - The header fields of the response.
     */
    decodeNotice(status: number, headers: IncomingHttpHeaders): UpstreamNotice {
        return {
            requestRate: parseRequestRate(headers[REQUEST_RATE_HEADER]),
            isLeaving: headers[LEAVING_HEADER] === "1",
            ...(status === STATUS_UNAVAILABLE ? { retryAfterMs: parseRetryAfter(headers["retry-after"]) } : {}),
        };
    }
}
