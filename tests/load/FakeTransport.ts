import { Readable } from "node:stream";
import type { Attempt } from "../../src/load/Attempt.js";
import { AttemptKind } from "../../src/load/AttemptKind.js";
import type { CallerTransport } from "../../src/load/CallerTransport.js";
import type { OutgoingRequest } from "../../src/load/OutgoingRequest.js";

/** Answers lookups with two hosts and everything else from a script. */
export class FakeTransport implements CallerTransport {
    /** What was sent, without the lookups. */
    readonly sent: OutgoingRequest[] = [];
    /** The attempts' ends in turn; when none is left, the answer is right. */
    readonly script: (Attempt | undefined)[] = [];
    /** The lookup's answer. */
    lookup = { status: 200, body: JSON.stringify({ addresses: ADDRESSES, ttlMs: 1_000 }) };
    /** Whether nothing answers any more. */
    isSilent = false;

    /**
     * Sends one request.
     * @param request - The request.
     */
    async send(request: OutgoingRequest): Promise<Attempt> {
        if (request.path === "/v1/addresses") {
            const body = Readable.from([Buffer.from(this.lookup.body)]);
            return { kind: AttemptKind.Answered, status: this.lookup.status, headers: {}, body };
        }
        this.sent.push(request);
        if (this.isSilent) {
            return await new Promise(() => {});
        }
        return this.script.shift() ?? FakeTransport.createAnswer("done", { path: request.path });
    }

    /** Closes nothing. */
    close(): Promise<void> {
        return Promise.resolve();
    }

    /**
     * Creates an answer.
     * @param outcome - Its outcome header.
     * @param body - Its JSON body.
     * @param status - Its status.
     */
    static createAnswer(outcome: string, body: object, status = 200): Attempt {
        const stream = Readable.from([Buffer.from(JSON.stringify(body))]);
        return { kind: AttemptKind.Answered, status, headers: { "x-outcome": outcome }, body: stream };
    }
}

const ADDRESSES = [
    { url: "http://127.0.0.1:1", keyPrefix: "p1" },
    { url: "http://127.0.0.1:2", keyPrefix: "p2" },
];
