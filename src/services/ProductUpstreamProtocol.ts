import type { IncomingHttpHeaders } from "undici/types/header.js";
import type { Upstream } from "../configuration/index.js";
import { parseRetryAfter } from "../utils/index.js";
import { AnswerCheckKind } from "./AnswerCheckKind.js";
import type { AnswerCheckResult } from "./AnswerCheckResult.js";
import { createUpstreamHeaders } from "./createUpstreamHeaders.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import type { UpstreamProtocol } from "./UpstreamProtocol.js";

const NOT_RUN_HEADER = "x-request-not-run";
const SHED_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** The product's own header fields. */
export class ProductUpstreamProtocol implements UpstreamProtocol {
    readonly hasCloseDelimitedBodies = false;

    /**
     * Creates the header fields of a request.
     * @param _upstream - Where it goes.
     * @param request - The request.
     * @param deadlineMs - Time until the first byte of the answer is due, in milliseconds.
     */
    createHeaders(_upstream: Upstream, request: ServiceRequest, deadlineMs: number): Record<string, string | string[]> {
        return createUpstreamHeaders(request, deadlineMs);
    }

    /**
     * Checks what the head of an answer stands for: only a shed that says so is taken as not run.
     * @param _upstream - Where it comes from.
     * @param _request - The request that it should answer.
     * @param status - Its status.
     * @param headers - Its header fields.
     */
    checkAnswer(
        _upstream: Upstream,
        _request: ServiceRequest,
        status: number,
        headers: IncomingHttpHeaders,
    ): AnswerCheckResult {
        return SHED_STATUSES.has(status) && headers[NOT_RUN_HEADER] === "1"
            ? { kind: AnswerCheckKind.Shed, retryAfterMs: parseRetryAfter(headers["retry-after"]) }
            : { kind: AnswerCheckKind.Answered };
    }
}
