import type { ServerResponse } from "node:http";

/** An answer that is ready to be sent once the answers to all earlier requests of its connection have been sent. */
export interface PreparedAnswer {
    /**
     * Sends the answer; resolves when the response has ended or its connection has closed.
     * @param response - The response to write to.
     */
    send(response: ServerResponse): Promise<void>;
    /** Releases an answer that can't be sent, as the caller has left. */
    cancel(): void;
}
