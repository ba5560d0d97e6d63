import { request } from "undici";
import { OperatorUnreachableError } from "../errors/index.js";
import type { OperatorAnswer } from "./OperatorAnswer.js";

const TIMEOUT_MS = 15_000;
const STATUS_UNAVAILABLE = 503;

/** Sends operators' requests to the first entry host that answers. */
export class OperatorClient {
    readonly #addresses: readonly string[];
    readonly #token: string;

    /**
     * @param addresses - Operators' addresses of entry hosts, tried in turn.
     * @param token - The operator's bearer token.
     */
    constructor(addresses: readonly string[], token: string) {
        this.#addresses = addresses;
        this.#token = token;
    }

    /**
     * Gets a resource.
     * @param path - Path with query.
     */
    get(path: string): Promise<OperatorAnswer> {
        return this.#send("GET", path, undefined);
    }

    /**
     * Sends a body; may reach several hosts, so it must be safe to send twice.
     * @param path - The path.
     * @param body - The body as a JSON value.
     */
    send(path: string, body: unknown): Promise<OperatorAnswer> {
        return this.#send("POST", path, JSON.stringify(body));
    }

    /** Goes on to the next host when one doesn't answer, or answers that it can't reach the store. */
    async #send(method: "GET" | "POST", path: string, body: string | undefined): Promise<OperatorAnswer> {
        const failures: string[] = [];
        let isNotSent = true;
        let unavailable: OperatorAnswer | undefined;
        for (const address of this.#addresses) {
            try {
                const answer = await this.#sendTo(address, method, path, body);
                if (answer.status !== STATUS_UNAVAILABLE) {
                    return answer;
                }
                unavailable = answer;
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

    async #sendTo(address: string, method: "GET" | "POST", path: string, body?: string): Promise<OperatorAnswer> {
        const answer = await request(`http://${address}${path}`, {
            method,
            headers: { authorization: `Bearer ${this.#token}`, "content-type": "application/json" },
            body: body ?? null,
            headersTimeout: TIMEOUT_MS,
            bodyTimeout: TIMEOUT_MS,
        });
        return { status: answer.statusCode, body: await answer.body.json() };
    }
}
