import { Readable } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind, SuppliedConfiguration } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { Gateway, GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";

const TARGET_MS = 100;
const ORDER_MS = 800;
const LIMITS = { maxHeaderBytes: 1_000, maxBodyBytes: 10, headersTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
const UPSTREAM = { name: "u", address: "127.0.0.1:1", zone: "a", slots: 1, connections: 1 };

const test = suite("arrivals at a stopping gateway");
let clock: FakeClock;
let gateway: Gateway;
/** Number of requests that reached the dispatcher. */
let dispatched: number;

test.before.each(() => {
    clock = new FakeClock();
    dispatched = 0;
    const configuration = createConfiguration();
    gateway = new Gateway({
        clock,
        random: new SeededRandom(1),
        decisions: new DecisionHistory(clock),
        limiter: { admit: async () => ({ isAdmitted: true, grant: { time: 0 } }), restore: () => {} },
        dispatcher: { run: () => runOrder() },
        getConfiguration: () => configuration,
        getCopyAge: () => 0,
        notRunStatuses: new Set(),
        checkCopyAge: async () => true,
    });
});

// Guards against requests that a stopping host takes, though the target of their route is longer than the time left.
test("takes no request whose route's target is longer than the time left while none of its route has ended", async () => {
    gateway.leave(clock.getTime() + TARGET_MS - 1);
    checkRefused(await send());
});

// Guards against requests that a stopping host takes, though the last ones of their route took longer than the time left.
test("takes no request of a route whose requests took longer than the time left", async () => {
    const known = await send();
    assert.ok(known.kind === OutcomeKind.Done);
    await known.body.toArray();
    gateway.leave(clock.getTime() + ORDER_MS - 1);
    checkRefused(await send(), 1);
});

test("takes a request that is expected to end in time", async () => {
    gateway.leave(clock.getTime() + TARGET_MS);
    // It takes longer than its target and is answered as unknown at the end, which is not a refusal.
    assert.is((await send()).kind, OutcomeKind.Unknown);
    assert.is(dispatched, 1);
});

test("answers a request that ends in time", async () => {
    gateway.leave(clock.getTime() + ORDER_MS + 1);
    assert.is((await send()).kind, OutcomeKind.Done);
});

test.run();

function checkRefused(outcome: Outcome, dispatchedBefore = 0): void {
    assert.ok(outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.HostStopping, outcome.kind);
    assert.is(dispatched, dispatchedBefore);
}

async function send(): Promise<Outcome> {
    const request = { requestId: "1", key: "key", host: "h", method: "POST", target: "/r/1", headers: {} };
    const outcome = gateway.run(
        { ...request, timeoutMs: undefined },
        async () => Buffer.alloc(0),
        new AbortController().signal,
    );
    await clock.run(ORDER_MS);
    return await outcome;
}

async function runOrder(): Promise<Outcome> {
    dispatched++;
    await clock.wait(ORDER_MS);
    return { kind: OutcomeKind.Done, status: 200, headers: {}, body: Readable.from([Buffer.from("answer")]) };
}

function createConfiguration(): SuppliedConfiguration {
    return new SuppliedConfiguration({
        version: 1,
        accounts: [{ name: "shop", rate: 0, burst: 0 }],
        accountsByKey: new Map([["key", "shop"]]),
        routes: [{
            name: "r",
            path: "/r/",
            methods: [],
            service: "orders",
            kind: RouteKind.Order,
            host: "h",
            access: RouteAccess.Accounts,
            deadlineMs: 30_000,
            targetMs: TARGET_MS,
            maxBodyBytes: 10,
        }],
        services: [{ name: "orders", upstreams: [UPSTREAM], floor: 0, retryBudget: 0, ...GATEWAY_SERVICE_DEFAULTS }],
        limits: LIMITS,
    });
}
