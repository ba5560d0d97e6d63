import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { StoreItemKind, Supply } from "../../src/supply/index.js";
import type { StoreItem } from "../../src/supply/index.js";
import { formatIncarnation, isEarlierIncarnation } from "../../src/utils/index.js";

/** The platform's bound for entries that expired during a store outage to be registered again, with a margin, in milliseconds. */
const REGISTRATION_BOUND_MS = 2_200;

/** When this host's process was started, in milliseconds of the wall clock. */
const OWN_START = 1_000;
const OWN_INCARNATION = formatIncarnation(OWN_START, "a");

const test = suite("Supply");
let clock: FakeClock;
let decisions: DecisionHistory;
let supply: Supply;
let regainedTime: number;
let items: Map<string, StoreItem>;
let revision: number;
let ownRemovals: number;

test.before.each(() => {
    clock = new FakeClock();
    decisions = new DecisionHistory(clock);
    regainedTime = Number.NEGATIVE_INFINITY;
    items = new Map();
    revision = 1;
    ownRemovals = 0;
    supply = new Supply({
        clock,
        decisions,
        decoder: { decode: (_, value) => items.get(value)! },
        getStoreRegainedTime: () => regainedTime,
        isOwnEntry: ({ id }) => id === "own",
        isEarlierEntry: ({ id, incarnation }) => id === "own" && isEarlierIncarnation(incarnation, OWN_INCARNATION),
        onOwnEntryLost: () => ownRemovals++,
    });
    write("configuration", createDocument(1));
});

test("an upstream is in force from its registration until it is removed", () => {
    write("u1", createUpstream());
    assert.equal(getUpstreams(), [["i-1", false]]);
    write("u1", createUpstream({ draining: true }, 2));
    assert.equal(getUpstreams(), [["i-1", true]]);
    remove("u1");
    assert.equal(getUpstreams(), []);
});

test("the configuration never returns to an older version, and an item that can't be decoded does not change it", () => {
    write("configuration", createDocument(5));
    write("configuration", createDocument(3));
    write("configuration", { kind: StoreItemKind.Invalid, reason: "no JSON" });
    assert.is(supply.getConfiguration()!.version, 5);
    assert.is(decisions.find({}).filter(decision => decision.reason === "entry-not-readable").length, 1);
});

test("a registration older than the known one changes nothing, but one of a newer process does", () => {
    write("u1", createUpstream({ draining: true }, 9, 100));
    write("u1", createUpstream({}, 8, 100));
    assert.equal(getUpstreams(), [["i-1", true]]);
    write("u1", createUpstream({}, 30, 50));
    assert.equal(getUpstreams(), [["i-1", true]]);
    write("u1", createUpstream({}, 1, 200));
    assert.equal(getUpstreams(), [["i-1", false]]);
});

test("after the store's return from an older copy, what was in force stays in force until it is written again", async () => {
    write("configuration", createDocument(9));
    write("stays", createUpstream({}, 5, 100));
    write("drains", createUpstream({ draining: true }, 6, 100));
    write("left", createUpstream({}, 7, 100));
    write("gone", createUpstream({}, 7, 100));
    remove("left");
    assert.is(getUpstreams().length, 3);
    supply.recordHistoryLoss();
    write("configuration", createDocument(4));
    write("drains", createUpstream({}, 2, 100));
    write("left", createUpstream({}, 7, 100));
    remove("stays");
    remove("gone");
    assert.is(supply.getConfiguration()!.version, 9);
    assert.match(supply.findLostDocument()!, /^configuration/);
    assert.equal(getUpstreams().map(([, isDraining]) => isDraining), [false, true, false]);
    write("stays", createUpstream({}, 6, 100));
    await clock.run(REGISTRATION_BOUND_MS);
    assert.equal(getUpstreams().map(([, isDraining]) => isDraining), [false, true]);
    assert.is(supply.hasEntry("left"), false);
    write("left", createUpstream({}, 8, 100));
    assert.is(supply.hasEntry("left"), true);
    write("configuration", createDocument(9));
    assert.is(supply.findLostDocument(), undefined);
    write("configuration", createDocument(10));
    assert.is(supply.getConfiguration()!.version, 10);
});

// Guards against a restarted host without callers: an answer was lost, and the store put its old entry back for 30 s.
test("an earlier process's entry that is written late over this process's own is noticed, and no other entry is", () => {
    write("own", createHost("own", OWN_START));
    write("h1", createHost("h1", OWN_START - 1));
    assert.is(ownRemovals, 0);
    write("own", createHost("own", OWN_START - 1));
    assert.is(ownRemovals, 1);
    write("own", createHost("own", OWN_START));
    write("own", createHost("own", OWN_START + 1));
    assert.is(ownRemovals, 1);
});

test("an entry of another writer that can't be decoded removes the upstream", () => {
    write("u1", createUpstream());
    write("u1", { kind: StoreItemKind.Invalid, reason: "no address" });
    assert.equal(getUpstreams(), []);
});

test("entries that expired during a store outage are kept until they are registered again", async () => {
    write("u1", createUpstream());
    write("h1", createHost("h1"));
    regainedTime = clock.getTime();
    remove("u1");
    remove("h1");
    assert.equal([getUpstreams().length, supply.getHosts().length], [1, 1]);
    await clock.run(1_500);
    write("u1", createUpstream({}, 2));
    await clock.run(REGISTRATION_BOUND_MS);
    assert.equal([getUpstreams().length, supply.getHosts().length], [1, 0]);
});

test("entries that expire with the host's own are kept until they are registered again, also without a store outage", async () => {
    write("u1", createUpstream());
    ["h1", "h2", "own"].forEach(id => write(id, createHost(id)));
    supply.apply(["h1", "own", "h2", "u1"].map(key => ({ key, revision: ++revision })));
    assert.equal([getUpstreams().length, supply.getHosts().length, ownRemovals], [1, 3, 1]);
    await clock.run(1_500);
    ["h1", "own"].forEach(id => write(id, createHost(id)));
    await clock.run(REGISTRATION_BOUND_MS);
    assert.equal([getUpstreams().length, supply.getHosts().map(({ id }) => id)], [0, ["h1", "own"]]);
});

test("an upstream that starts to drain after a store outage is draining at once", () => {
    write("u1", createUpstream());
    regainedTime = clock.getTime();
    write("u1", createUpstream({ draining: true }, 2));
    assert.equal(getUpstreams(), [["i-1", true]]);
});

test("an upstream of a service that is not in the configuration is ignored", () => {
    write("u1", { ...createUpstream(), service: "unknown" });
    assert.equal(getUpstreams(), []);
});

test("mere renewals of entries don't rebuild the configuration or the list of hosts", () => {
    write("u1", createUpstream({ coldMs: 3_000 }));
    write("h1", createHost("h1"));
    const before = [supply.getConfiguration(), supply.getHosts()];
    let changes = 0;
    supply.addListener(() => changes++);
    write("u1", createUpstream({ coldMs: 1_500 }, 2));
    write("u1", createUpstream({ coldMs: 200 }, 3));
    write("h1", createHost("h1"));
    assert.is(changes, 0);
    assert.ok(supply.getConfiguration() === before[0]);
    assert.ok(supply.getHosts() === before[1]);
    write("u1", createUpstream({ coldMs: 0 }, 4));
    assert.equal([changes, getUpstreams()], [1, [["i-1", false]]]);
    write("u1", createUpstream({ draining: true, coldMs: 0 }, 5));
    write("u1", createUpstream({}, 4));
    assert.equal([changes, getUpstreams()], [2, [["i-1", true]]]);
});

test.run();

type UpstreamItem = Extract<StoreItem, { kind: StoreItemKind.Upstream; }>;

function write(key: string, item: StoreItem): void {
    const value = `${key}-${++revision}`;
    items.set(value, item);
    supply.apply([{ key, revision, value }]);
}

function remove(key: string): void {
    supply.apply([{ key, revision: ++revision }]);
}

function getUpstreams(): (readonly [string, boolean])[] {
    const service = supply.getConfiguration()!.getService("orders")!;
    return service.upstreams.map(upstream => [upstream.name, upstream.draining === true] as const);
}

function createUpstream(change: Partial<UpstreamItem["upstream"]> = {}, sequence = 1, startTime = 0): UpstreamItem {
    const upstream = { name: "i-1", address: "127.0.0.1:1", zone: "a", slots: 6, connections: 1, ...change };
    return { kind: StoreItemKind.Upstream, service: "orders", sequence, startTime, upstream };
}

function createHost(id: string, startTime = OWN_START): StoreItem {
    const incarnation = formatIncarnation(startTime, "a");
    const member = { id, region: "r", zone: "a", peerAddress: "", callerAddress: "", incarnation };
    return { kind: StoreItemKind.Host, member };
}

function createDocument(version: number): StoreItem {
    const route = { name: "r", path: "/", methods: [], service: "orders", kind: RouteKind.Order };
    return {
        kind: StoreItemKind.Configuration,
        document: {
            version,
            accounts: [],
            findings: [],
            accountsByKey: new Map(),
            routes: [{ ...route, access: RouteAccess.Open, deadlineMs: 1_000, maxBodyBytes: 1_000 }],
            services: [{ ...GATEWAY_SERVICE_DEFAULTS, name: "orders", floor: 0.7, retryBudget: 0.2, connections: 330 }],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
        },
    };
}
