import { setTimeout as wait } from "node:timers/promises";
import { Pool } from "undici";
import { SeededRandom } from "../../../../src/random/index.js";
import type { SoakFleet } from "../faults/SoakFleet.js";
import type { SoakHost } from "../faults/SoakHost.js";
import type { SoakPlan } from "../plan/SoakPlan.js";
import { SoakProfile } from "../plan/SoakProfile.js";
import type { SoakCall } from "./SoakCall.js";

/** Callers of the account with a rate; together they send several times the rate. */
const LIMITED_CALLERS = 14;
const OTHER_CALLERS = 10;
/** Mean pause of a caller between two requests, in milliseconds. */
const PAUSE_MS = 100;
const CONNECTIONS_PER_HOST = 16;
const DEADLINE_MS = 2_500;
/** When a caller gives up, in milliseconds; after the deadline, so that the final response is seen. */
const GIVE_UP_MS = 4_000;
/** How long a caller avoids a host that failed it, in milliseconds. */
const AVOIDANCE_MS = 500;
/** Mean pause of a pressing caller between two requests, in milliseconds. */
const PRESS_PAUSE_MS = 20;
/** Callers of accounts with odd names; each pauses for several times as long as others. */
const ODD_CALLERS = 2;
const ODD_PAUSE_MS = 400;
/** Callers use the newest keys that change, so that some of them were withdrawn. */
const RECENT_KEYS = 3;
const PATHS = ["/lookup/", "/lookup/", "/order/", "/order/", "/order/", "/books/", "/lookup/open/"] as const;

/** Sends requests to all hosts on connections that stay open until they fail. */
export class SoakLoad {
    readonly calls: SoakCall[] = [];
    readonly #fleet: SoakFleet;
    readonly #plan: SoakPlan;
    readonly #pools = new Map<string, Pool>();
    readonly #failureTimes = new Map<string, number>();
    readonly #callers: Promise<void>[] = [];
    #isStopping = false;

    /**
     * @param fleet - The fleet.
     * @param plan - Names the seed, which selects hosts, paths, keys and pauses, and the profile.
     */
    constructor(fleet: SoakFleet, plan: SoakPlan) {
        this.#fleet = fleet;
        this.#plan = plan;
    }

    /** Starts the callers. */
    start(): void {
        for (let caller = 0; caller < LIMITED_CALLERS + OTHER_CALLERS; caller++) {
            this.#callers.push(this.#runCaller(caller));
        }
        if (this.#plan.profile === SoakProfile.Pressure) {
            for (let caller = 0; caller < ODD_CALLERS; caller++) {
                this.#callers.push(this.#runOddCaller(caller));
            }
        }
    }

    /**
     * Lets more callers of the account with a rate send almost without a pause.
     * @param callers - How many.
     * @param durationMs - For how long, in milliseconds.
     */
    async runPress(callers: number, durationMs: number): Promise<void> {
        const endTime = performance.now() + durationMs;
        await Promise.all(Array.from({ length: callers }, (_, caller) => this.#runPressingCaller(caller, endTime)));
    }

    /** Waits until all requests have ended. */
    async stop(): Promise<void> {
        this.#isStopping = true;
        await Promise.all(this.#callers);
        await Promise.all([...this.#pools.values()].map(pool => pool.destroy()));
    }

    /**
     * Sends one request.
     * @param host - The destination.
     * @param prefix - The path without its last part.
     * @param key - The caller's key.
     */
    async send(host: SoakHost, prefix: string, key: string | undefined): Promise<SoakCall> {
        const id = `s${this.#plan.seed}-${this.calls.length}`;
        const isOrder = prefix === "/order/";
        const call: SoakCall = {
            id,
            host: host.id,
            isOrder,
            path: `${prefix}${id}`,
            body: isOrder ? `order ${id}` : "",
            key,
            sentTime: performance.now(),
            endTime: Number.POSITIVE_INFINITY,
            response: undefined,
            error: undefined,
        };
        this.calls.push(call);
        try {
            call.response = await this.#sendAndReceive(host, call);
        }
        catch (error) {
            call.error = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
            this.#failureTimes.set(host.id, performance.now());
        }
        call.endTime = performance.now();
        return call;
    }

    async #runCaller(number: number): Promise<void> {
        const random = new SeededRandom(this.#plan.seed * 100 + number);
        const isLimited = number < LIMITED_CALLERS;
        while (!this.#isStopping) {
            await wait(2 * PAUSE_MS * random.getNext());
            const path = PATHS[Math.floor(random.getNext() * PATHS.length)]!;
            const recent = this.#fleet.keys.getRecent(Math.floor(random.getNext() * RECENT_KEYS)).key;
            const ownKey = isLimited ? `key-${1 + number % 2}` : number % 4 === 0 ? "key-anonymous" : recent;
            const key = path === "/lookup/open/" ? undefined : ownKey;
            await this.send(this.#selectHost(random.getNext()), path, key);
        }
    }

    async #runPressingCaller(number: number, endTime: number): Promise<void> {
        const random = new SeededRandom(this.#plan.seed * 100 + 50 + number);
        while (performance.now() < endTime) {
            await wait(2 * PRESS_PAUSE_MS * random.getNext());
            const prefix = random.getNext() < 0.5 ? "/order/" : "/lookup/";
            await this.send(this.#selectHost(random.getNext()), prefix, `key-${1 + number % 2}`);
        }
    }

    async #runOddCaller(number: number): Promise<void> {
        const random = new SeededRandom(this.#plan.seed * 100 + 90 + number);
        for (let count = number; !this.#isStopping; count++) {
            await wait(2 * ODD_PAUSE_MS * random.getNext());
            const prefix = random.getNext() < 0.5 ? "/order/" : "/lookup/";
            await this.send(this.#selectHost(random.getNext()), prefix, this.#fleet.keys.getOdd(count));
        }
    }

    #selectHost(share: number): SoakHost {
        const { hosts } = this.#fleet;
        const now = performance.now();
        const usable = hosts.filter(({ id }) => (this.#failureTimes.get(id) ?? -AVOIDANCE_MS) + AVOIDANCE_MS <= now);
        const selected = usable.length === 0 ? hosts : usable;
        return selected[Math.floor(share * selected.length)]!;
    }

    async #sendAndReceive(host: SoakHost, call: SoakCall): Promise<SoakCall["response"]> {
        const response = await this.#getPool(host).request({
            method: call.isOrder ? "POST" : "GET",
            path: call.path,
            body: call.isOrder ? call.body : null,
            signal: AbortSignal.timeout(GIVE_UP_MS),
            headers: {
                "host": "shop.example",
                "fuchsiapath-attempt-id": call.id,
                "fuchsiapath-deadline-ms": String(DEADLINE_MS),
                ...(call.key === undefined ? {} : { authorization: `Bearer ${call.key}` }),
            },
        });
        const body = await response.body.text();
        return {
            status: response.statusCode,
            seal: response.headers["fuchsiapath-response-seal"] as string | undefined,
            id: response.headers["fuchsiapath-attempt-id"] as string | undefined,
            body,
        };
    }

    #getPool(host: SoakHost): Pool {
        const pool = this.#pools.get(host.id) ??
            new Pool(`http://${host.process.callerAddress}`, { connections: CONNECTIONS_PER_HOST, pipelining: 1 });
        this.#pools.set(host.id, pool);
        return pool;
    }
}
