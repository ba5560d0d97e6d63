import { createServer } from "node:http";
import type { Server } from "node:http";
import polka from "polka";
import { parseAddress } from "../utils/index.js";

const MAX_HEADER_BYTES = 16 * 1024;

/** Answers operators. */
export class OperatorListener {
    readonly #server: Server = createServer({ maxHeaderSize: MAX_HEADER_BYTES });

    /** @param addRoutes - Adds the operators' endpoints. */
    constructor(addRoutes: (app: polka.Polka) => void) {
        const app = polka({ server: this.#server });
        addRoutes(app);
        this.#server.on("request", (request, response) => app.handler(request as polka.Request, response));
    }

    /**
     * Starts to listen.
     * @param address - "ip:port"
     */
    async start(address: string): Promise<void> {
        const { host, port } = parseAddress(address);
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
    }

    /** Stops listening and closes all connections. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }
}
