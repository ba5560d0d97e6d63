import { createServer } from "node:http";
import type { Server } from "node:http";
import polka from "polka";
import { closeServer } from "./closeServer.js";
import { openServer } from "./openServer.js";

const MAX_HEADER_BYTES = 16 * 1024;

/** An HTTP listener for the endpoints that a callback adds. */
export class RouteListener {
    readonly #server: Server = createServer({ maxHeaderSize: MAX_HEADER_BYTES });

    /** @param addRoutes - Adds the endpoints. */
    constructor(addRoutes: (app: polka.Polka) => void) {
        const app = polka({ server: this.#server });
        addRoutes(app);
        this.#server.on("request", (request, response) => app.handler(request as polka.Request, response));
    }

    /**
     * Starts to listen.
     * @param address - The address, as "ip:port".
     */
    async start(address: string): Promise<void> {
        await openServer(this.#server, address);
    }

    /** Stops listening and closes all connections. */
    async stop(): Promise<void> {
        await closeServer(this.#server);
    }
}
