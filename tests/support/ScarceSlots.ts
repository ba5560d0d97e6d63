import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { EjectionPolicy } from "../../src/services/index.js";
import type { ScarceResult } from "./ScarceResult.js";
import type { ScarceRoute } from "./ScarceRoute.js";

const SLOTS = 4;
const DURATION_MS = 30_000;
const MS_PER_SECOND = 1_000;
/** Accounts by rate: one large, four of medium size, ten small; one of medium size sends seven times its usual. */
const ACCOUNTS = new Map([
    ["large", 20],
    ...Array.from({ length: 4 }, (_, index): [string, number] => [`medium${index}`, 8]),
    ...Array.from({ length: 10 }, (_, index): [string, number] => [`small${index}`, 2]),
]);
const BUSY_ACCOUNT = "medium0";
const BUSY_FACTOR = 7;

interface EndedRequest {
    readonly route: ScarceRoute;
    readonly account: string;
    readonly isServed: boolean;
    readonly durationMs: number;
}

/** Plays routes of several priorities and service times on a pool with too few slots, in virtual time. */
export class ScarceSlots {
    readonly #routes: readonly ScarceRoute[];
    readonly #ended: EndedRequest[] = [];

    /** @param routes - The kinds of request. */
    constructor(routes: readonly ScarceRoute[]) {
        this.#routes = routes;
    }

    /**
     * Plays the load.
     * @param upstreams - Number of upstreams.
     * @param getPriority - Gets the priority of an account's requests.
     */
    async run(
        upstreams: number,
        getPriority: (account: string, route: ScarceRoute) => number = (_, route) => route.priority,
    ): Promise<void> {
        const bench = new ServiceBench({
            policy: EjectionPolicy.Prompt,
            upstreams,
            slots: SLOTS,
            detection: GATEWAY_SERVICE_DEFAULTS.detection,
            service: { queuePerSlot: GATEWAY_SERVICE_DEFAULTS.queuePerSlot, floor: 0.7 },
            fakes: {
                routeServiceTimesMs: Object.fromEntries(
                    this.#routes.map(({ name, serviceTimeMs }) => [name, serviceTimeMs]),
                ),
            },
        });
        bench.weights = Object.fromEntries(ACCOUNTS);
        const totalWeight = [...ACCOUNTS.values()].reduce((sum, weight) => sum + weight, 0);
        const loads = [...ACCOUNTS].flatMap(([account, weight]) =>
            this.#routes.map(async route => {
                const factor = account === BUSY_ACCOUNT ? BUSY_FACTOR : 1;
                const rate = factor * route.ratePerSecond * weight / totalWeight;
                await this.#sendLoad(bench, route, account, rate, getPriority(account, route));
            })
        );
        await bench.clock.run(DURATION_MS + 2 * Math.max(...this.#routes.map(route => route.timeoutMs)));
        await Promise.all(loads);
    }

    /** Gets the results by route. */
    getRoutes(): ReadonlyMap<string, ScarceResult> {
        return this.#getResults(this.#ended, ({ route }) => route.name);
    }

    /** Gets the results by route, without those of the account that is above its usual rate. */
    getRoutesOfOthers(): ReadonlyMap<string, ScarceResult> {
        return this.#getResults(this.#ended.filter(item => item.account !== BUSY_ACCOUNT), ({ route }) => route.name);
    }

    /** Gets the results by the size of the account; the one above its usual rate counts as "busy". */
    getAccounts(): ReadonlyMap<string, ScarceResult> {
        return this.#getResults(
            this.#ended,
            ({ account }) => account === BUSY_ACCOUNT ? "busy" : account.replace(/\d+$/, ""),
        );
    }

    /** Measures the slot time of the served requests of an account, in milliseconds. */
    measureSlotTime(account: string): number {
        return this.#ended.filter(item => item.account === account && item.isServed)
            .reduce((sum, { route }) => sum + route.serviceTimeMs, 0);
    }

    async #sendLoad(
        bench: ServiceBench,
        route: ScarceRoute,
        account: string,
        ratePerSecond: number,
        priority: number,
    ): Promise<void> {
        const { name, targetMs, timeoutMs, isIdempotent } = route;
        const pending: Promise<void>[] = [];
        const send = async (): Promise<void> => {
            const start = bench.clock.getTime();
            const request = { account, route: name, priority, targetMs, timeoutMs, isIdempotent };
            const { outcome } = await bench.send(request);
            this.#ended.push({
                route,
                account,
                isServed: outcome.kind === OutcomeKind.Done,
                durationMs: bench.clock.getTime() - start,
            });
        };
        for (;;) {
            const pauseMs = -Math.log(1 - bench.random.getNext()) * MS_PER_SECOND / ratePerSecond;
            if (bench.clock.getTime() + pauseMs > DURATION_MS) {
                break;
            }
            await bench.clock.wait(pauseMs);
            pending.push(send());
        }
        await Promise.all(pending);
    }

    #getResults(
        items: readonly EndedRequest[],
        getKey: (request: EndedRequest) => string,
    ): ReadonlyMap<string, ScarceResult> {
        const keys = new Set(items.map(getKey));
        return new Map([...keys].map(key => [key, createResult(items.filter(item => getKey(item) === key))]));
    }
}

function createResult(items: readonly EndedRequest[]): ScarceResult {
    const getShare = (isCounted: (item: EndedRequest) => boolean): number =>
        items.filter(isCounted).length / items.length;
    return {
        requests: items.length,
        inTime: getShare(({ isServed, durationMs, route }) => isServed && durationMs <= route.targetMs),
        served: getShare(({ isServed }) => isServed),
        refusedAfterMs: measureMean(items.filter(({ isServed }) => !isServed).map(({ durationMs }) => durationMs)),
    };
}

function measureMean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
