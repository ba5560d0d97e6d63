import type { IncomingMessage, ServerResponse } from "node:http";
import type { PreparedAnswer } from "./PreparedAnswer.js";
import type { PreparedRequest } from "./PreparedRequest.js";

/** A request of a connection whose answer has not been sent. */
export interface PendingRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly prepared: PreparedRequest;
    /** Aborts the request. */
    readonly controller: AbortController;
    /** Its answer; undefined until the request has been passed on. */
    answer: Promise<PreparedAnswer> | undefined;
    /** Memory counted for the request, in bytes. */
    queuedBytes: number;
    /** Memory counted for its answer while it waits for those to earlier requests, in bytes. */
    aheadBytes: number;
}
