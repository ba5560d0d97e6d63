import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import polka from "polka";
import { FindingsError } from "../errors/index.js";
import { closeServer, openServer, parseValue } from "../utils/index.js";
import { readJsonBody } from "./readJsonBody.js";
import { sendFindings } from "./sendFindings.js";
import { sendJson } from "./sendJson.js";
import { upstreamChange } from "./upstreamChange.js";
import type { UpstreamStandIn } from "./UpstreamStandIn.js";

const STATUS_OK = 200;

/** The control endpoint of the upstream stand-ins of one process. */
export class UpstreamControl {
    readonly #upstreams: readonly UpstreamStandIn[];
    readonly #server: Server;

    /** @param upstreams - The stand-ins that it controls. */
    constructor(upstreams: readonly UpstreamStandIn[]) {
        this.#upstreams = upstreams;
        this.#server = createServer();
        const app = polka({ server: this.#server });
        app.get("/control", (_, response) => this.#sendState(response));
        app.get("/control/records", (_, response) => this.#sendRecords(response));
        app.post("/control", (request, response) => this.#applyChange(request, response));
        this.#server.on("request", (request, response) => app.handler(request as polka.Request, response));
    }

    /**
     * Starts to listen on loopback and returns the port.
     * @param port - The port; 0 for any that is free.
     */
    start(port: number): Promise<number> {
        return openServer(this.#server, `127.0.0.1:${port}`);
    }

    /** Stops listening and closes all connections. */
    stop(): Promise<void> {
        return closeServer(this.#server);
    }

    #sendState(response: ServerResponse): void {
        const upstreams = this.#upstreams.map(upstream => ({
            name: upstream.getName(),
            faults: upstream.getFaults(),
            ...upstream.getLoad(),
        }));
        sendJson(response, STATUS_OK, { upstreams });
    }

    #sendRecords(response: ServerResponse): void {
        sendJson(response, STATUS_OK, { records: this.#upstreams.flatMap(upstream => upstream.getRecords()) });
    }

    async #applyChange(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const { upstreams, stopTraffic, crash, ...faults } = parseValue(
                upstreamChange,
                await readJsonBody(request),
            );
            for (const upstream of this.#selectUpstreams(upstreams)) {
                upstream.applyFaults({ ...upstream.getFaults(), ...faults });
                if (stopTraffic) {
                    upstream.stopTraffic();
                }
                if (crash) {
                    upstream.runCrash();
                }
            }
            this.#sendState(response);
        }
        catch (error) {
            sendFindings(response, error);
        }
    }

    #selectUpstreams(names: readonly string[] | undefined): readonly UpstreamStandIn[] {
        const known = new Set(this.#upstreams.map(upstream => upstream.getName()));
        const unknown = (names ?? []).filter(name => !known.has(name));
        if (unknown.length > 0) {
            throw new FindingsError(unknown.map(name => ({ place: "upstreams", message: `There is no ${name}.` })));
        }
        return this.#upstreams.filter(upstream => names?.includes(upstream.getName()) ?? true);
    }
}
