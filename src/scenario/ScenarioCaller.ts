import type { Readable } from "node:stream";
import type { CallerAnswer, LookupAnswer } from "../callers/index.js";
import { FuchsiapathError } from "../errors/index.js";
import { type Outcome, OutcomeKind } from "../outcomes/index.js";
import type { RandomSource } from "../random/index.js";
import type { CallResult } from "./CallResult.js";
import type { LookupCache } from "./LookupCache.js";
import type { ScenarioFleet } from "./ScenarioFleet.js";
import type { ScenarioHost } from "./ScenarioHost.js";

const MAX_ATTEMPTS = 8;
const RESEND_MS = 500;
const ANSWER_TIMEOUT_MS = 4_000;
const NETWORK_MS = 3;
const CUT_REASON = "cut answer given as whole";

type LookupAddress = LookupAnswer["addresses"][number];

/** One request with the key under which it was sent. */
interface CallState {
    readonly load: string;
    readonly route: string;
    readonly reference: string;
    readonly isOrder: boolean;
    /** The order's key once it may have reached a host. */
    sentKey: string | undefined;
    hasOpenAttempt: boolean;
}

/** Sends the requests of a client account as the system's callers do. */
export class ScenarioCaller {
    readonly #fleet: ScenarioFleet;
    readonly #random: RandomSource;
    readonly #account: string;
    readonly #key: string;
    #cache: LookupCache | undefined;

    /**
     * @param fleet - The entry hosts.
     * @param random - Selects addresses.
     * @param account - The client account.
     * @param key - Its key, "<id>.<secret>".
     */
    constructor(fleet: ScenarioFleet, random: RandomSource, account: string, key: string) {
        this.#fleet = fleet;
        this.#random = random;
        this.#account = account;
        this.#key = key;
    }

    /**
     * Runs a request to its result, over several attempts.
     * @param load - The load that it belongs to.
     * @param route - The route's name.
     * @param reference - Stands in the path; unique.
     */
    async run(load: string, route: string, reference: string): Promise<CallResult> {
        const call: CallState = {
            load,
            route,
            reference,
            isOrder: route === "orders",
            sentKey: undefined,
            hasOpenAttempt: false,
        };
        let result = this.#createResult(call, OutcomeKind.NotRun, "no-address");
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const address = this.#selectAddress();
            const host = address && this.#fleet.findByUrl(address.url);
            if (address !== undefined && host !== undefined) {
                result = await this.#runAttempt(call, address, host);
            }
            if (result.kind === OutcomeKind.Done || isFinal(result.reason)) {
                return result;
            }
            call.hasOpenAttempt ||= result.kind === OutcomeKind.Unknown;
            this.#cache = undefined;
            await this.#fleet.clock.wait(RESEND_MS * (1 / 2 + this.#random.getNext()));
        }
        return result;
    }

    async #runAttempt(call: CallState, address: LookupAddress, host: ScenarioHost): Promise<CallResult> {
        const key = call.sentKey ?? `${address.keyPrefix}.${call.reference}`;
        call.sentKey = key;
        const answer = await this.#send(call, key, host);
        if (answer === undefined) {
            return this.#createResult(call, OutcomeKind.Unknown, "no-answer");
        }
        const result = await this.#readOutcome(call, answer.outcome);
        answer.close();
        if (result.kind === OutcomeKind.NotRun) {
            call.sentKey = undefined;
        }
        return result;
    }

    async #send(call: CallState, key: string, host: ScenarioHost): Promise<CallerAnswer | undefined> {
        await this.#fleet.clock.wait(NETWORK_MS);
        if (host.isFrozen || host.life.signal.aborted) {
            await this.#fleet.clock.wait(ANSWER_TIMEOUT_MS);
            return undefined;
        }
        const ended = new AbortController();
        const answer = host.host.requestHandler.run({
            method: "POST",
            target: `/${call.route}?ref=${call.reference}`,
            headers: { authorization: `Bearer ${this.#key}`, ...(call.isOrder && { "idempotency-key": key }) },
            readBody: async () => Buffer.from(call.reference),
            waitedMs: 0,
            signal: ended.signal,
        });
        const timeout = this.#fleet.clock.wait(ANSWER_TIMEOUT_MS).then(() => ended.abort());
        const received = await Promise.race([answer, timeout.then(() => undefined), host.death.then(() => undefined)]);
        return host.isFrozen ? undefined : received;
    }

    async #readOutcome(call: CallState, outcome: Outcome): Promise<CallResult> {
        if (outcome.kind !== OutcomeKind.Done) {
            return this.#createResult(call, outcome.kind, outcome.reason);
        }
        try {
            const bytes = await readAll(outcome.body);
            if (bytes !== Number(outcome.headers["content-length"])) {
                return this.#createResult(call, outcome.kind, CUT_REASON);
            }
        }
        catch {
            return this.#createResult(call, OutcomeKind.Unknown, "cut-answer");
        }
        const isFailed = outcome.status >= 500;
        return this.#createResult(call, isFailed ? OutcomeKind.Unknown : OutcomeKind.Done, `status ${outcome.status}`);
    }

    /** Keeps a lookup's answer as long as it may be kept. */
    #selectAddress(): LookupAddress | undefined {
        const now = this.#fleet.clock.getTime();
        if (this.#cache === undefined || now > this.#cache.endTime) {
            const answer = this.#findAnswer();
            this.#cache = answer && { answer, endTime: now + answer.ttlMs };
        }
        const addresses = this.#cache?.answer.addresses ?? [];
        return addresses[Math.floor(this.#random.getNext() * addresses.length)];
    }

    #findAnswer(): LookupAnswer | undefined {
        const hosts = this.#fleet.getHosts().filter(host => !host.isFrozen);
        const host = hosts[Math.floor(this.#random.getNext() * hosts.length)];
        try {
            const [keyId, secret] = this.#key.split(".") as [string, string];
            host?.host.requestHandler.checkServing();
            return host?.host.lookup.getAddresses(host.host.requestHandler.getAccount({ keyId, secret }));
        }
        catch (error) {
            if (error instanceof FuchsiapathError) {
                return undefined;
            }
            throw error;
        }
    }

    #createResult(call: CallState, kind: OutcomeKind, reason: string): CallResult {
        const { load, reference, isOrder, hasOpenAttempt } = call;
        return { load, account: this.#account, reference, isOrder, hasOpenAttempt, kind, reason };
    }
}

function isFinal(reason: string): boolean {
    return reason === "withdrawn-key" || reason === "unknown-key" || reason === "rate-exceeded";
}

async function readAll(body: Readable): Promise<number> {
    let bytes = 0;
    for await (const chunk of body as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    return bytes;
}
