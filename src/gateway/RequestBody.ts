import type { IncomingMessage } from "node:http";
import { RefusalError } from "../callers/index.js";
import { MemoryShortError } from "../errors/index.js";
import type { HeldBody, ProcessMemory } from "../memory/index.js";
import { RefusalReason } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";

/** Retry delay sent while there is no memory for a body, in milliseconds: the slowest bodies have been given up by then. */
const MEMORY_RETRY_MS = 1_000;
/** Time for which an upstream may still be sent the body of a request whose caller has left, in milliseconds. */
const LATE_MS = 1_000;

/** The body of a caller's request and the memory that it holds. */
export class RequestBody {
    readonly #request: IncomingMessage;
    readonly #memory: ProcessMemory;
    readonly #clock: Clock;
    #held: HeldBody | undefined;
    #endTime = 0;

    /**
     * @param request - The request.
     * @param memory - What requests may hold in this process.
     * @param clock - The source of time.
     */
    constructor(request: IncomingMessage, memory: ProcessMemory, clock: Clock) {
        this.#request = request;
        this.#memory = memory;
        this.#clock = clock;
    }

    /**
     * Reads the body; returns undefined if it exceeds the limit. Throws a RefusalError if there is no memory for it.
     * @param maxBytes - The limit, in bytes.
     * @param timeoutMs - The time in which the body is of use, in milliseconds.
     */
    async read(maxBytes: number, timeoutMs: number): Promise<Buffer | undefined> {
        const { headers } = this.#request;
        const hasLength = headers["transfer-encoding"] === undefined;
        this.#endTime = this.#clock.getTime() + timeoutMs;
        try {
            const length = hasLength ? Number(headers["content-length"] ?? 0) : undefined;
            this.#held = await this.#memory.bodies.read(this.#request, { maxBytes, length, timeoutMs });
            return this.#held?.bytes;
        }
        catch (error) {
            throw error instanceof MemoryShortError
                ? new RefusalError(RefusalReason.Overloaded, error.message, MEMORY_RETRY_MS)
                : error;
        }
    }

    /** Gives up the memory when the request has been answered. */
    release(): void {
        this.#held?.release();
    }

    /** Gives up the memory of a request whose caller has left, and which may still run, when its time is over. */
    releaseLate(): void {
        if (this.#held !== undefined && this.#held.bytes.length > 0) {
            const remainingMs = Math.max(0, this.#endTime + LATE_MS - this.#clock.getTime());
            this.#clock.schedule(remainingMs, () => this.release());
        }
    }
}
