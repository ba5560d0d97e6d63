import type { IncomingMessage, Server } from "node:http";
import type { ProcessMemory } from "../memory/index.js";
import type { Clock } from "../time/index.js";
import type { PreparedRequest } from "./PreparedRequest.js";

/** Dependencies of the connections of a listener for callers. */
export interface CallerConnectionsOptions {
    readonly clock: Clock;
    readonly server: Server;
    /** What requests may hold in this process; no limit if undefined. */
    readonly memory?: ProcessMemory | undefined;
    /** Largest number of open connections; no limit if undefined. */
    readonly maxConnections?: number | undefined;
    /**
     * Decodes a request when it has been read; never throws.
     * @param request - The request, without its body.
     */
    readonly prepare: (request: IncomingMessage) => PreparedRequest;
}
