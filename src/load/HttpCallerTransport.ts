import { Agent, request } from "undici";
import type { HeaderFields } from "../outcomes/index.js";
import type { Attempt } from "./Attempt.js";
import { AttemptKind } from "./AttemptKind.js";
import type { CallerTransport } from "./CallerTransport.js";
import type { OutgoingRequest } from "./OutgoingRequest.js";

const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

interface SystemFailure {
    readonly code?: string;
    readonly syscall?: string;
    readonly message: string;
}

/** Sends a caller's requests over HTTP. */
export class HttpCallerTransport implements CallerTransport {
    readonly #agent: Agent;
    readonly #requestsAhead: number;

    /**
     * @param connectTimeoutMs - Time to open a connection, in milliseconds.
     * @param answerTimeoutMs - Time between two parts of an answer, in milliseconds.
     * @param requestsAhead - Requests that are sent on a connection before the first of them has been answered; orders never are.
     */
    constructor(connectTimeoutMs: number, answerTimeoutMs: number, requestsAhead = 1) {
        this.#requestsAhead = requestsAhead;
        this.#agent = new Agent({
            connect: { timeout: connectTimeoutMs },
            bodyTimeout: answerTimeoutMs,
            // With more connections, requests are spread over these first.
            ...(requestsAhead > 1 ? { connections: 1, pipelining: requestsAhead } : {}),
        });
    }

    /**
     * Sends one request; never rejects.
     * @param outgoing - The request.
     */
    async send(outgoing: OutgoingRequest): Promise<Attempt> {
        try {
            const answer = await request(outgoing.url + outgoing.path, {
                dispatcher: this.#agent,
                method: outgoing.method as "GET",
                headers: outgoing.headers,
                body: outgoing.body ?? null,
                headersTimeout: outgoing.timeoutMs,
                blocking: this.#requestsAhead === 1,
            });
            const headers = answer.headers as HeaderFields;
            return { kind: AttemptKind.Answered, status: answer.statusCode, headers, body: answer.body };
        }
        catch (error) {
            return createFailure(error as SystemFailure);
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.#agent.destroy();
    }
}

function createFailure(error: SystemFailure): Attempt {
    const isNotOpened = error.syscall === "connect" || error.code === CONNECT_TIMEOUT_CODE;
    return isNotOpened
        ? { kind: AttemptKind.NotOpened }
        : { kind: AttemptKind.Lost, detail: error.code ?? error.message };
}
