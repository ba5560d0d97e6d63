import type { ServiceAnswer } from "./ServiceAnswer.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import type { RecordSenderEndParams } from "./sharing/RecordSenderEndParams.js";

/** Runs requests on the upstreams of a service in a zone: a service host in this process or on another entry host. */
export interface ServiceRunner {
    /**
     * Runs one attempt; never rejects.
     * @param request - The request.
     * @param signal - Aborts the attempt when the caller disconnects or cancels the request.
     */
    run(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
    /**
     * Refuses the queued ones of a leaving host's requests that can't be expected to end before it aborts them.
     * @param params - The requests and the time left.
     */
    recordSenderEnd(params: RecordSenderEndParams): void;
}
