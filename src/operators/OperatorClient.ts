import { request } from "undici";
import { OperatorUnreachableError } from "../errors/index.js";
import type { OperatorResponse } from "./OperatorResponse.js";

const TIMEOUT_MS = 15_000;
const STATUS_UNAVAILABLE = 503;

/** Sends operators' requests to the entry hosts in turn until one responds. */
export class OperatorClient {
    readonly #addresses: readonly string[];
    readonly #token: string;

    /**
     * @param addresses - Addresses of the entry hosts' operator listeners, tried in order.
     * @param token - The operator's bearer token.
     */
    constructor(addresses: readonly string[], token: string) {
        this.#addresses = addresses;
        this.#token = token;
    }

    /**
     * Sends a GET request.
     * @param path - Path with query.
     */
    get(path: string): Promise<OperatorResponse> {
        return this.#send("GET", path, undefined);
    }

    /**
     * Sends a POST request. It may reach several hosts, so it must be idempotent.
     * @param path - The path.
     * @param body - The body as a JSON value.
     */
    send(path: string, body: unknown): Promise<OperatorResponse> {
        return this.#send("POST", path, JSON.stringify(body));
    }

    /** Tries the next host if one does not respond, or responds that the store is unavailable. */
    async #send(method: "GET" | "POST", path: string, body: string | undefined): Promise<OperatorResponse> {
        const failures: string[] = [];
        let isNotSent = true;
        let unavailable: OperatorResponse | undefined;
        for (const address of this.#addresses) {
            try {
                const response = await this.#sendTo(address, method, path, body);
                if (response.status !== STATUS_UNAVAILABLE) {
                    return response;
                }
                unavailable = response;
            }
            catch (error) {
                isNotSent &&= (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
                failures.push(`${address}: ${(error as Error).message}`);
            }
        }
        if (unavailable !== undefined) {
            return unavailable;
        }
        throw new OperatorUnreachableError(failures, isNotSent);
    }

    async #sendTo(address: string, method: "GET" | "POST", path: string, body?: string): Promise<OperatorResponse> {
        const response = await request(`http://${address}${path}`, {
            method,
            headers: { authorization: `Bearer ${this.#token}`, "content-type": "application/json" },
            body: body ?? null,
            headersTimeout: TIMEOUT_MS,
            bodyTimeout: TIMEOUT_MS,
        });
        return { status: response.statusCode, body: await response.body.json() };
    }
}
