import { readBody } from "../utils/index.js";
import type { AddressBookOptions } from "./AddressBookOptions.js";
import { AttemptKind } from "./AttemptKind.js";
import type { EntryAddress } from "./EntryAddress.js";
import type { LookupResult } from "./LookupResult.js";
import { LookupResultKind } from "./LookupResultKind.js";
import { readProblem } from "./readProblem.js";

const LOOKUP_PATH = "/v1/addresses";
const MAX_ANSWER_BYTES = 1_048_576;
const STATUS_OK = 200;
const STATUS_SERVER_ERROR = 500;

interface AddressAnswer {
    readonly addresses: readonly EntryAddress[];
    readonly ttlMs: number;
}

/** Keeps the addresses that a caller uses, and asks the system for them when they have lapsed. */
export class AddressBook {
    readonly #options: AddressBookOptions;
    #addresses: readonly EntryAddress[] = [];
    #expiresAt = -Infinity;
    #lookup: Promise<LookupResult> | undefined;

    /** @param options - What it is built from. */
    constructor(options: AddressBookOptions) {
        this.#options = options;
    }

    /** Gets the addresses to use, from the last answer while it holds. */
    async getAddresses(): Promise<LookupResult> {
        if (this.#options.clock.getTime() < this.#expiresAt) {
            return { kind: LookupResultKind.Found, addresses: this.#addresses };
        }
        this.#lookup ??= this.#runLookup().finally(() => {
            this.#lookup = undefined;
        });
        return await this.#lookup;
    }

    /** Drops the kept answer, so that the system is asked again. */
    removeAnswer(): void {
        this.#expiresAt = -Infinity;
    }

    async #runLookup(): Promise<LookupResult> {
        for (const url of this.#selectEntries()) {
            const result = await this.#sendLookup(url).catch(() => undefined);
            if (result !== undefined) {
                return result;
            }
        }
        return { kind: LookupResultKind.NoAnswer };
    }

    async #sendLookup(url: string): Promise<LookupResult | undefined> {
        const { clock, key, timeoutMs, transport } = this.#options;
        const sentAt = clock.getTime();
        const headers: Record<string, string> = key === undefined ? {} : { authorization: `Bearer ${key}` };
        const answer = await transport.send({
            url,
            method: "GET",
            path: LOOKUP_PATH,
            headers,
            body: undefined,
            timeoutMs,
        });
        if (answer.kind !== AttemptKind.Answered) {
            return undefined;
        }
        if (answer.status === STATUS_OK) {
            return this.#applyAnswer(await readBody(answer.body, MAX_ANSWER_BYTES), sentAt);
        }
        const problem = await readProblem(answer.status, answer.body);
        return answer.status < STATUS_SERVER_ERROR ? { kind: LookupResultKind.Refused, problem } : undefined;
    }

    #applyAnswer(body: Buffer | undefined, sentAt: number): LookupResult | undefined {
        const answer = JSON.parse(body?.toString("utf8") ?? "") as AddressAnswer;
        if (answer.addresses.length === 0) {
            return undefined;
        }
        this.#addresses = answer.addresses;
        this.#expiresAt = sentAt + answer.ttlMs;
        return { kind: LookupResultKind.Found, addresses: answer.addresses };
    }

    #selectEntries(): readonly string[] {
        const known = new Set([...this.#addresses.map(address => address.url), ...this.#options.entries]);
        const ranked = [...known].map(url => ({ url, rank: this.#options.random.getNext() }));
        return ranked.sort((a, b) => a.rank - b.rank).map(entry => entry.url);
    }
}
