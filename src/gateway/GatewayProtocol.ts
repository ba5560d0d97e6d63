import type { IncomingMessage } from "node:http";
import type { DoneOutcome, HeaderFields, NotRunOutcome, UnknownOutcome } from "../outcomes/index.js";
import type { GatewayAnswer } from "./GatewayAnswer.js";
import type { GatewayCall } from "./GatewayCall.js";

/** How callers' requests and their answers look in HTTP. */
export interface GatewayProtocol {
    /**
     * Decodes a request; throws a RefusalError if it can't be read.
     * @param request - The request.
     */
    decodeCall(request: IncomingMessage): GatewayCall;
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
    createAnswer(outcome: NotRunOutcome | UnknownOutcome, requestId: string | undefined): GatewayAnswer;
}
