import type { IncomingMessage } from "node:http";
import type { DoneOutcome, HeaderFields, NotRunOutcome, UnknownOutcome } from "../outcomes/index.js";
import type { GatewayErrorResponse } from "./GatewayErrorResponse.js";
import type { GatewayRequest } from "./GatewayRequest.js";

/** Maps callers' HTTP requests and responses to the gateway's types. */
export interface GatewayProtocol {
    /** The statuses by which callers are told that a request was not run and never will be. */
    readonly notRunStatuses: ReadonlySet<number>;
    /**
     * Decodes a request; throws a RefusalError if it is malformed.
     * @param request - The HTTP request, without its body.
     */
    decodeRequest(request: IncomingMessage): GatewayRequest;
    /**
     * Creates the header fields of the response that forwards an upstream's response.
     * @param outcome - The upstream's response.
     */
    createHeaders(outcome: DoneOutcome): HeaderFields;
    /**
     * Creates the error response for a request without a response of an upstream.
     * @param outcome - The outcome of the request.
     * @param requestId - The caller's id of the attempt; undefined if the request was malformed.
     */
    createErrorResponse(outcome: NotRunOutcome | UnknownOutcome, requestId: string | undefined): GatewayErrorResponse;
}
