import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import polka from "polka";
import type { ListedHost } from "../hostlist/index.js";
import type { Clock } from "../time/index.js";
import { closeServer, openServer, parseValue } from "../utils/index.js";
import { hostListChange } from "./hostListChange.js";
import { LaggingHostList } from "./LaggingHostList.js";
import { readJsonBody } from "./readJsonBody.js";
import { sendFindings } from "./sendFindings.js";
import { sendJson } from "./sendJson.js";

const STATUS_OK = 200;

/** The stand-in for the platform's list of hosts. */
export class HostListServer {
    /** The list itself. */
    readonly list: LaggingHostList;
    readonly #server: Server;
    #isAway = false;

    /**
     * @param clock - The source of time.
     * @param hosts - The list at the start.
     * @param lagMs - Time until a change shows, in milliseconds.
     */
    constructor(clock: Clock, hosts: readonly ListedHost[] = [], lagMs = 0) {
        this.list = new LaggingHostList(clock, hosts, lagMs);
        this.#server = createServer();
        const app = polka({ server: this.#server });
        app.get("/hosts", (_, response) => this.#sendHosts(response));
        app.get("/control", (_, response) => this.#sendState(response));
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

    async #sendHosts(response: ServerResponse): Promise<void> {
        if (this.#isAway) {
            response.destroy();
            return;
        }
        sendJson(response, STATUS_OK, { hosts: await this.list.getHosts() });
    }

    #sendState(response: ServerResponse): void {
        const state = { hosts: this.list.getNewest(), lagMs: this.list.lagMs, isAway: this.#isAway };
        sendJson(response, STATUS_OK, state);
    }

    async #applyChange(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const change = parseValue(hostListChange, await readJsonBody(request));
            this.list.lagMs = change.lagMs ?? this.list.lagMs;
            this.#isAway = change.isAway ?? this.#isAway;
            const { addHost, removeHost } = change;
            const hosts = (change.hosts ?? this.list.getNewest()).filter(host =>
                host.address !== removeHost && host.address !== addHost?.address
            );
            this.list.apply(addHost === undefined ? hosts : [...hosts, addHost]);
            this.#sendState(response);
        }
        catch (error) {
            sendFindings(response, error);
        }
    }
}
