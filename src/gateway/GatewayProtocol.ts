import type { IncomingMessage } from "node:http";
import type { DoneOutcome, HeaderFields, NotRunOutcome, UnknownOutcome } from "../outcomes/index.js";
import type { GatewayErrorResponse } from "./GatewayErrorResponse.js";
import type { GatewayRequest } from "./GatewayRequest.js";

/** How callers' requests and their answers look in HTTP. */
export interface GatewayProtocol {
    /**
     * Decodes a request; throws a RefusalError if it can't be read.
     * @param request - The request.
     */
    decodeRequest(request: IncomingMessage): GatewayRequest;
    /**
     * Creates the header fields of an upstream's answer.
     * @param outcome - The answer.
     */
    createHeaders(outcome: DoneOutcome): HeaderFields;
    /**
     * Creates the answer that tells a caller why no upstream's answer comes.
     * @param outcome - What became of the request.
     * @param requestId - The caller's id of the attempt; undefined if it could not be read.
     */
    createErrorResponse(outcome: NotRunOutcome | UnknownOutcome, requestId: string | undefined): GatewayErrorResponse;
}
