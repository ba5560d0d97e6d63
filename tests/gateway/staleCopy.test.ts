import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind, SuppliedConfiguration } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { Gateway, GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";

const ROUTE = { name: "r", path: "/r/", methods: [], service: "orders", kind: RouteKind.Lookup };
const LIMITS = { maxHeaderBytes: 1_000, maxBodyBytes: 10, headersTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
const UPSTREAM = { name: "u", address: "127.0.0.1:1", zone: "a", slots: 1, connections: 1 };
const STALE_AGE_MS = 5_000;
const RECENT_AGE_MS = 500;
/** Above the body limit of the route, in bytes. */
const LONG_BODY = 11;

const test = suite("stale configuration");
let configuration: SuppliedConfiguration;
let copyAgeMs: number;
let refreshCount: number;
/** Refreshes the configuration; returns whether the store answered. */
let refresh: () => boolean;
let gateway: Gateway;

test.before.each(() => {
    const clock = new FakeClock();
    configuration = createConfiguration(1, []);
    refreshCount = 0;
    copyAgeMs = STALE_AGE_MS;
    refresh = () => false;
    gateway = new Gateway({
        clock,
        random: new SeededRandom(1),
        decisions: new DecisionHistory(clock),
        limiter: { admit: async () => ({ isAdmitted: true, grant: { time: 0 } }), restore: () => {} },
        dispatcher: { run: async () => createNotRun(RefusalReason.Overloaded, "reached the dispatcher") },
        getConfiguration: () => configuration,
        getCopyAge: () => copyAgeMs,
        notRunStatuses: new Set(),
        checkCopyAge: async maxAgeMs => {
            if (copyAgeMs <= maxAgeMs) {
                return true;
            }
            refreshCount++;
            return refresh();
        },
    });
});

test("a host that can't refresh a stale configuration refuses no key, route or body permanently", async () => {
    assert.is(await run("key-new", "/r/1"), RefusalReason.HostNotCurrent);
    assert.is(await run("key-old", "/unknown/1"), RefusalReason.HostNotCurrent);
    assert.is(await run("key-old", "/r/1", LONG_BODY), RefusalReason.HostNotCurrent);
    assert.is(refreshCount, 3);
});

test("a host with a stale configuration refreshes it and accepts a key that only the newest one has", async () => {
    refresh = () => {
        configuration = createConfiguration(2, ["key-new"]);
        return true;
    };
    assert.is(await run("key-new", "/r/1"), RefusalReason.Overloaded);
});

test("a body above a stale limit is not refused permanently once a newer configuration is known", async () => {
    refresh = () => {
        configuration = createConfiguration(2, []);
        return true;
    };
    assert.is(await run("key-old", "/r/1", LONG_BODY), RefusalReason.HostNotCurrent);
});

test("a key, a route or a body that the newest configuration does not allow is refused permanently", async () => {
    refresh = () => true;
    assert.is(await run("key-new", "/r/1"), RefusalReason.UnknownKey);
    assert.is(await run("key-old", "/unknown/1"), RefusalReason.UnknownRoute);
    assert.is(await run("key-old", "/r/1", LONG_BODY), RefusalReason.BodyTooLarge);
});

test("a host with a recent configuration refuses without a refresh", async () => {
    copyAgeMs = RECENT_AGE_MS;
    assert.is(await run("key-new", "/r/1"), RefusalReason.UnknownKey);
    assert.is(refreshCount, 0);
});

test("an allowed request does not wait for a refresh", async () => {
    assert.is(await run("key-old", "/r/1"), RefusalReason.Overloaded);
    assert.is(refreshCount, 0);
});

test("a request whose route is not known yet may be an order, so it does not run ahead of others", () => {
    const request = { requestId: "r1", key: undefined, method: "GET", headers: {}, timeoutMs: undefined };
    assert.is(gateway.isIdempotent({ ...request, host: "h", target: "/unknown/1" }), false);
    assert.is(gateway.isIdempotent({ ...request, host: "h", target: "/r/1?x=1" }), true);
});

test.run();

async function run(key: string, target: string, bodyBytes = 0): Promise<string> {
    const request = { requestId: "1", key, host: "h", method: "GET", target, headers: {}, timeoutMs: 1_000 };
    const readBody = async (maxBytes: number): Promise<Buffer | undefined> =>
        bodyBytes > maxBytes ? undefined : Buffer.alloc(bodyBytes);
    return getReason(await gateway.run(request, readBody, new AbortController().signal));
}

function getReason(outcome: Outcome): string {
    return outcome.kind === OutcomeKind.Done ? String(outcome.status) : outcome.reason;
}

function createConfiguration(version: number, newKeys: readonly string[]): SuppliedConfiguration {
    const accounts = [{ name: "shop", rate: 0, burst: 0 }];
    return new SuppliedConfiguration({
        version,
        accounts,
        accountsByKey: new Map(["key-old", ...newKeys].map(key => [key, "shop"])),
        routes: [{ ...ROUTE, host: "h", access: RouteAccess.Accounts, deadlineMs: 1_000, maxBodyBytes: 10 }],
        services: [{
            ...GATEWAY_SERVICE_DEFAULTS,
            name: "orders",
            floor: 0.7,
            retryBudget: 0.2,
            upstreams: [UPSTREAM],
        }],
        limits: LIMITS,
    });
}
