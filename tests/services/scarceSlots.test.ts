import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkSnapshot } from "../support/checkSnapshot.js";
import type { ScarceResult } from "../support/ScarceResult.js";
import type { ScarceRoute } from "../support/ScarceRoute.js";
import { ScarceSlots } from "../support/ScarceSlots.js";

/** Short requests: urgent bookings, orders, and lookups whose callers are patient. */
const SHORT_ROUTES: readonly ScarceRoute[] = [
    createRoute("lookup", { priority: 2, ratePerSecond: 22, serviceTimeMs: 169, targetMs: 804, timeoutMs: 4_019 }),
    createRoute("order", { priority: 1, ratePerSecond: 49, serviceTimeMs: 219, targetMs: 805, timeoutMs: 5_032 }),
    createRoute("booking", { priority: 0, ratePerSecond: 14, serviceTimeMs: 117, targetMs: 607, timeoutMs: 4_045 }),
];
/** Long requests: renewals of 250 ms beside downloads and lookups of 800 ms. */
const LONG_ROUTES: readonly ScarceRoute[] = [
    createRoute("lookup", { priority: 2, ratePerSecond: 18, serviceTimeMs: 800, targetMs: 3_000, timeoutMs: 3_000 }),
    createRoute("download", { priority: 1, ratePerSecond: 10, serviceTimeMs: 414, targetMs: 1_203, timeoutMs: 2_005 }),
    createRoute("renewal", { priority: 0, ratePerSecond: 9, serviceTimeMs: 249, targetMs: 1_008, timeoutMs: 2_519 }),
];
/** Upstreams of four slots with room for about half of the load. */
const SHORT_UPSTREAMS = 3;
const LONG_UPSTREAMS = 4;

for (
    const [name, routes, upstreams] of [
        ["short", SHORT_ROUTES, SHORT_UPSTREAMS],
        ["long", LONG_ROUTES, LONG_UPSTREAMS],
    ] as const
) {
    test(`with room for half of the ${name} requests, the urgent ones are served and no account pays for a busy one`, async () => {
        const slots = new ScarceSlots(routes);
        await slots.run(upstreams);
        const byRoute = slots.getRoutes();
        const ofOthers = slots.getRoutesOfOthers();
        const byAccount = slots.getAccounts();
        const tables = [byRoute, ofOthers, byAccount].map(formatResults);
        checkSnapshot(`services/scarceSlots-${name}`, tables.join("\n"));
        const [lowest, middle, urgent] = routes.map(route => ofOthers.get(route.name)!);
        assert.ok(urgent!.served >= 0.95 && urgent!.inTime >= 0.95, "urgent");
        assert.ok(urgent!.served >= middle!.served - 0.05 && middle!.served >= lowest!.served, "in order of priority");
        const total = measureTotal([...byRoute.values()]);
        assert.ok([...byRoute.values()].every(result => result.served >= total / 3), "no priority starves");
        const served = ["large", "medium", "small"].map(size => byAccount.get(size)!.served);
        assert.ok(Math.min(...served) >= 0.75 * Math.max(...served), "small accounts don't pay for large ones");
        const busy = byAccount.get("busy")!;
        for (const size of ["large", "medium", "small"]) {
            assert.ok(byAccount.get(size)!.served >= 1.5 * busy.served, size);
        }
        for (const [route, { refusedAfterMs }] of byRoute) {
            assert.ok(refusedAfterMs <= 250, `${route} refused after ${refusedAfterMs} ms`);
        }
    });
}

test("an account that names all its requests urgent gets no more slot time", async () => {
    const usual = new ScarceSlots(SHORT_ROUTES);
    await usual.run(SHORT_UPSTREAMS);
    const urgent = new ScarceSlots(SHORT_ROUTES);
    await urgent.run(SHORT_UPSTREAMS, (account, route) => account === "medium0" ? 0 : route.priority);
    const ratio = urgent.measureSlotTime("medium0") / usual.measureSlotTime("medium0");
    assert.ok(ratio <= 1.15, `${ratio} of its usual slot time`);
});

test.run();

function createRoute(name: string, route: Omit<ScarceRoute, "name" | "isIdempotent">): ScarceRoute {
    return { name, isIdempotent: name === "lookup" || name === "download", ...route };
}

/** Measures the share of all requests that is served. */
function measureTotal(results: readonly ScarceResult[]): number {
    const requests = results.reduce((sum, result) => sum + result.requests, 0);
    return results.reduce((sum, result) => sum + result.requests * result.served, 0) / requests;
}

function formatResults(results: ReadonlyMap<string, ScarceResult>): string {
    return [...results].sort(([left], [right]) => left < right ? -1 : 1).map(([name, result]) => {
        const [inTime, served] = [result.inTime, result.served].map(share => (100 * share).toFixed(1));
        return `${name}: ${result.requests} requests, in time ${inTime} %, served ${served} %, ` +
            `refused after ${result.refusedAfterMs.toFixed(0)} ms\n`;
    }).join("");
}
