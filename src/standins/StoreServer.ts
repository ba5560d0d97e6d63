import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import polka from "polka";
import type { z } from "zod";
import { StoreLimitError, StoreUnavailableError, StoreValueError, UnexpectedVariantError } from "../errors/index.js";
import { FakeStore } from "../fakes/index.js";
import { StoreMethod } from "../store/index.js";
import type { Clock } from "../time/index.js";
import { closeServer, openServer, parseValue } from "../utils/index.js";
import { readJsonBody } from "./readJsonBody.js";
import { sendFindings } from "./sendFindings.js";
import { sendJson } from "./sendJson.js";
import { storeParams } from "./storeParams.js";
import { storeServerFaults } from "./storeServerFaults.js";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_VALUE_TOO_LARGE = 413;
const STATUS_RATE_LIMITED = 429;

/** The stand-in for the platform's store: a fake store over HTTP with a control endpoint. */
export class StoreServer {
    /** The store itself, for its faults and call counts. */
    readonly store: FakeStore;
    readonly #server: Server;
    #isSilent = false;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.store = new FakeStore(clock);
        this.#server = createServer();
        const app = polka({ server: this.#server });
        app.post("/store/:method", (request, response) => this.#runCall(request, response, request.params["method"]));
        app.get("/control", (_, response) => this.#sendState(response));
        app.post("/control", (request, response) => this.#receiveFaults(request, response));
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

    /**
     * Applies faults.
     * @param change - The faults to change; what is left out stays as it was.
     */
    applyFaults(change: z.output<typeof storeServerFaults>): void {
        const { isSilent, ...faults } = change;
        this.#isSilent = isSilent ?? this.#isSilent;
        const entries = Object.entries(faults).map(([name, value]) => [name, value ?? undefined]);
        Object.assign(this.store.faults, Object.fromEntries(entries));
    }

    async #runCall(request: IncomingMessage, response: ServerResponse, method: unknown): Promise<void> {
        try {
            const params = await readJsonBody(request);
            if (this.#isSilent) {
                return;
            }
            if (!isStoreMethod(method)) {
                return sendJson(response, STATUS_NOT_FOUND, {});
            }
            sendJson(response, STATUS_OK, { result: await this.#runMethod(method, params) });
        }
        catch (error) {
            this.#sendError(response, error);
        }
    }

    async #runMethod(method: StoreMethod, params: unknown): Promise<unknown> {
        switch (method) {
            case StoreMethod.Get:
                return await this.store.get(parseValue(storeParams.get, params).key);
            case StoreMethod.CompareAndSwap: {
                const { key, value, expectedRevision, leaseId } = parseValue(storeParams.compareAndSwap, params);
                return await this.store.compareAndSwap(key, value, expectedRevision, leaseId);
            }
            case StoreMethod.Remove: {
                const { key, expectedRevision } = parseValue(storeParams.remove, params);
                return await this.store.remove(key, expectedRevision);
            }
            case StoreMethod.Watch: {
                const { key, knownRevision, waitMs } = parseValue(storeParams.watch, params);
                return await this.store.watch(key, knownRevision, waitMs);
            }
            case StoreMethod.CreateLease:
                return await this.store.createLease(parseValue(storeParams.createLease, params).durationMs);
            case StoreMethod.RenewLease:
                return await this.store.renewLease(parseValue(storeParams.lease, params).leaseId);
            case StoreMethod.ReleaseLease:
                return await this.store.releaseLease(parseValue(storeParams.lease, params).leaseId);
            default:
                throw new UnexpectedVariantError(method);
        }
    }

    #sendError(response: ServerResponse, error: unknown): void {
        if (error instanceof StoreLimitError) {
            sendJson(response, STATUS_RATE_LIMITED, {});
        }
        else if (error instanceof StoreUnavailableError) {
            response.destroy();
        }
        else if (error instanceof StoreValueError) {
            sendJson(response, STATUS_VALUE_TOO_LARGE, {});
        }
        else {
            sendFindings(response, error);
        }
    }

    #sendState(response: ServerResponse): void {
        const faults = { ...this.store.faults, isSilent: this.#isSilent };
        sendJson(response, STATUS_OK, { faults, calls: this.store.calls });
    }

    async #receiveFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            this.applyFaults(parseValue(storeServerFaults, await readJsonBody(request)));
            this.#sendState(response);
        }
        catch (error) {
            sendFindings(response, error);
        }
    }
}

function isStoreMethod(method: unknown): method is StoreMethod {
    return Object.values(StoreMethod).some(known => known === method);
}
