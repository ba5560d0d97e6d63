import { Pool } from "undici";
import { StoreLimitError, StoreUnavailableError, StoreValueError } from "../errors/index.js";
import type { HttpStoreOptions } from "./HttpStoreOptions.js";
import type { Store } from "./Store.js";
import { StoreMethod } from "./StoreMethod.js";
import type { StoreRecord } from "./StoreRecord.js";
import type { WriteResult } from "./WriteResult.js";

const DEFAULT_CONNECTIONS = 16;
const STATUS_OK = 200;
const STATUS_VALUE_TOO_LARGE = 413;
const STATUS_RATE_LIMITED = 429;

/** Calls the platform's store over HTTP. */
export class HttpStore implements Store {
    readonly #pool: Pool;
    readonly #timeoutMs: number;

    /** @param options - Address, timeout and connection limit. */
    constructor(options: HttpStoreOptions) {
        this.#timeoutMs = options.timeoutMs;
        this.#pool = new Pool(options.url, {
            connections: options.connections ?? DEFAULT_CONNECTIONS,
            connect: { timeout: options.timeoutMs },
        });
    }

    /**
     * Gets a record.
     * @param key - The record's key.
     */
    get(key: string): Promise<StoreRecord | undefined> {
        return this.#send<StoreRecord | undefined>(StoreMethod.Get, { key });
    }

    /**
     * Writes a value if the record still has the expected revision and the lease has not lapsed.
     * @param key - The record's key.
     * @param value - The new value.
     * @param expectedRevision - The revision that the record must have; 0 if it must not exist.
     * @param leaseId - The lease with which the record is removed; none if left out.
     */
    compareAndSwap(key: string, value: string, expectedRevision: number, leaseId?: string): Promise<WriteResult> {
        return this.#send<WriteResult>(StoreMethod.CompareAndSwap, { key, value, expectedRevision, leaseId });
    }

    /**
     * Removes a record if it still has the expected revision.
     * @param key - The record's key.
     * @param expectedRevision - The revision that the record must have.
     */
    remove(key: string, expectedRevision: number): Promise<boolean> {
        return this.#send<boolean>(StoreMethod.Remove, { key, expectedRevision });
    }

    /**
     * Waits until a record's revision differs from a known one, or until the wait ends.
     * @param key - The record's key.
     * @param knownRevision - The revision that the caller has; 0 if none.
     * @param waitMs - The maximum wait, in milliseconds.
     */
    watch(key: string, knownRevision: number, waitMs: number): Promise<StoreRecord | undefined> {
        return this.#send<StoreRecord | undefined>(StoreMethod.Watch, { key, knownRevision, waitMs }, waitMs);
    }

    /**
     * Creates a lease and returns its id.
     * @param durationMs - The lease's duration in milliseconds.
     */
    createLease(durationMs: number): Promise<string> {
        return this.#send<string>(StoreMethod.CreateLease, { durationMs });
    }

    /**
     * Renews a lease; returns false if it has lapsed.
     * @param leaseId - The lease's id.
     */
    renewLease(leaseId: string): Promise<boolean> {
        return this.#send<boolean>(StoreMethod.RenewLease, { leaseId });
    }

    /**
     * Releases a lease and removes its records.
     * @param leaseId - The lease's id.
     */
    async releaseLease(leaseId: string): Promise<void> {
        await this.#send<undefined>(StoreMethod.ReleaseLease, { leaseId });
    }

    /** Closes the connections; calls in flight fail. */
    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    async #send<Result>(method: StoreMethod, params: object, waitMs = 0): Promise<Result> {
        const answer = await this.#sendRequest(method, params, waitMs);
        switch (answer.status) {
            case STATUS_OK:
                return parseResult<Result>(answer.text);
            case STATUS_RATE_LIMITED:
                throw new StoreLimitError("The store takes no more calls this second.");
            case STATUS_VALUE_TOO_LARGE:
                throw new StoreValueError("The value exceeds the store's size limit.");
            default:
                throw new StoreUnavailableError(`The store answered ${method} with status ${answer.status}.`);
        }
    }

    async #sendRequest(
        method: StoreMethod,
        params: object,
        waitMs: number,
    ): Promise<{ status: number; text: string; }> {
        try {
            const response = await this.#pool.request({
                method: "POST",
                path: `/store/${method}`,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(params),
                signal: AbortSignal.timeout(this.#timeoutMs + waitMs),
            });
            return { status: response.statusCode, text: await response.body.text() };
        }
        catch (error) {
            throw new StoreUnavailableError(`The store did not answer ${method}.`, { cause: error });
        }
    }
}

function parseResult<Result>(text: string): Result {
    try {
        return (JSON.parse(text) as { result?: Result; }).result as Result;
    }
    catch (error) {
        throw new StoreUnavailableError("The store's answer is not valid JSON.", { cause: error });
    }
}
