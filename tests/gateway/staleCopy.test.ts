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
const OLD_MS = 5_000;
const RECENT_MS = 500;
/** Longer than the limit of the route. */
const LONG_BODY = 11;

const test = suite("stale copy");
let configuration: SuppliedConfiguration;
let copyAgeMs: number;
let confirmations: number;
/** What asking for the newest configuration brings. */
let confirm: () => boolean;
let gateway: Gateway;

test.before.each(() => {
    const clock = new FakeClock();
    configuration = createConfiguration(1, []);
    confirmations = 0;
    copyAgeMs = OLD_MS;
    confirm = () => false;
    gateway = new Gateway({
        clock,
        random: new SeededRandom(1),
        decisions: new DecisionHistory(clock),
        limiter: { admit: async () => ({ isAdmitted: true, grant: { time: 0 } }), restore: () => {} },
        dispatcher: { run: async () => createNotRun(RefusalReason.Overloaded, "reached the dispatcher") },
        getConfiguration: () => configuration,
        getCopyAge: () => copyAgeMs,
        checkCopyAge: async maxAgeMs => {
            if (copyAgeMs <= maxAgeMs) {
                return true;
            }
            confirmations++;
            return confirm();
        },
    });
});

test("a host whose copy is old refuses no key, route or body for good while it can't make sure", async () => {
    assert.is(await run("key-new", "/r/1"), RefusalReason.HostNotCurrent);
    assert.is(await run("key-old", "/unknown/1"), RefusalReason.HostNotCurrent);
    assert.is(await run("key-old", "/r/1", LONG_BODY), RefusalReason.HostNotCurrent);
    assert.is(confirmations, 3);
});

test("a host whose copy is old serves what the newest configuration allows", async () => {
    confirm = () => {
        configuration = createConfiguration(2, ["key-new"]);
        return true;
    };
    assert.is(await run("key-new", "/r/1"), RefusalReason.Overloaded);
});

test("a body that the old copy's limit forbids is not refused for good once a newer limit is known", async () => {
    confirm = () => {
        configuration = createConfiguration(2, []);
        return true;
    };
    assert.is(await run("key-old", "/r/1", LONG_BODY), RefusalReason.HostNotCurrent);
});

test("what the newest configuration does not allow is refused for good", async () => {
    confirm = () => true;
    assert.is(await run("key-new", "/r/1"), RefusalReason.UnknownKey);
    assert.is(await run("key-old", "/unknown/1"), RefusalReason.UnknownRoute);
    assert.is(await run("key-old", "/r/1", LONG_BODY), RefusalReason.BodyTooLarge);
});

test("a host whose copy is recent refuses without asking", async () => {
    copyAgeMs = RECENT_MS;
    assert.is(await run("key-new", "/r/1"), RefusalReason.UnknownKey);
    assert.is(confirmations, 0);
});

test("a request that is allowed waits for no confirmation", async () => {
    assert.is(await run("key-old", "/r/1"), RefusalReason.Overloaded);
    assert.is(confirmations, 0);
});

test.run();

async function run(key: string, target: string, bodyBytes = 0): Promise<string> {
    const call = { requestId: "1", key, host: "h", method: "GET", target, headers: {}, timeoutMs: 1_000 };
    const readBody = async (maxBytes: number): Promise<Buffer | undefined> =>
        bodyBytes > maxBytes ? undefined : Buffer.alloc(bodyBytes);
    return getReason(await gateway.run(call, readBody, new AbortController().signal));
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
