import type { IncomingMessage, Server } from "node:http";
import type { Clock } from "../time/index.js";
import type { PreparedRequest } from "./PreparedRequest.js";

/** Dependencies of the connections of a listener for callers. */
export interface CallerConnectionsOptions {
    readonly clock: Clock;
    readonly server: Server;
    /**
     * Decodes a request when it has been read; never throws.
     * @param request - The request, without its body.
     */
    readonly prepare: (request: IncomingMessage) => PreparedRequest;
}
