import type { Attempt } from "./Attempt.js";
import type { OutgoingRequest } from "./OutgoingRequest.js";

/** Sends a caller's requests. */
export interface CallerTransport {
    /**
     * Sends one request; never rejects.
     * @param request - The request.
     */
    send(request: OutgoingRequest): Promise<Attempt>;
    /** Closes all connections. */
    close(): Promise<void>;
}
