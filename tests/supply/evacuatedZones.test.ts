import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { Decision, DecisionHistory } from "../../src/logging/index.js";
import type { DecisionRecord } from "../../src/logging/index.js";
import { StoreItemKind, Supply } from "../../src/supply/index.js";
import type { StoreItem } from "../../src/supply/index.js";

const COLD_START_MS = 3_000;
const EVACUATION_A: StoreItem = { kind: StoreItemKind.Evacuation, zone: "a" };
const INVALID: StoreItem = { kind: StoreItemKind.Invalid, reason: "no JSON" };

const test = suite("evacuated zones");
let clock: FakeClock;
let decisions: DecisionHistory;
let supply: Supply;
let items: Map<string, StoreItem>;
let revision: number;

test.before.each(() => {
    clock = new FakeClock();
    decisions = new DecisionHistory(clock);
    items = new Map();
    revision = 1;
    supply = new Supply({
        clock,
        decisions,
        decoder: { decode: (_, value) => items.get(value)! },
        getStoreRegainedTime: () => Number.NEGATIVE_INFINITY,
        isOwnEntry: () => false,
        isEarlierEntry: () => false,
        onOwnEntryLost: () => {},
    });
    write("configuration", createDocument());
    write("u1", createUpstream("u1", "a"));
    write("u2", createUpstream("u2", "b"));
});

test("the upstreams of an evacuated zone drain until it is taken back, those that register later too", () => {
    write("evacuate/a", EVACUATION_A);
    write("u3", createUpstream("u3", "a"));
    assert.equal(getDraining(), ["u1", "u3"]);
    write("evacuate/a", EVACUATION_A);
    assert.is(find(Decision.ZoneEvacuated).length, 1);
    remove("evacuate/a");
    assert.equal(getDraining(), []);
    assert.is(find(Decision.ZoneTakenBack).length, 1);
});

test("an evacuation in the same reading as the upstreams is in force with them", () => {
    revision++;
    items.set("evacuation", EVACUATION_A);
    items.set("upstream", createUpstream("u4", "a"));
    supply.apply([
        { key: "u4", revision, value: "upstream" },
        { key: "evacuate/a", revision, value: "evacuation" },
    ]);
    assert.equal(getDraining(), ["u1", "u4"]);
});

test("an entry that can't be read is logged with its key and changes nothing", () => {
    write("evacuate/a", INVALID);
    assert.equal(getDraining(), []);
    write("evacuate/a", EVACUATION_A);
    write("evacuate/a", INVALID);
    assert.equal(getDraining(), ["u1"]);
    const reports = decisions.find({}).filter(({ reason }) => reason === "entry-not-readable");
    assert.equal(reports.map(({ figures }) => figures?.["key"]), ["evacuate/a", "evacuate/a"]);
});

test("the upstreams of a zone that is taken back count as cold for the time that a start takes", () => {
    write("evacuate/a", EVACUATION_A);
    remove("evacuate/a");
    const time = clock.getTime();
    assert.equal(getWarmTimes(), [["u1", time + COLD_START_MS], ["u2", undefined]]);
});

test("an upstream that registers as cold is so from the arrival of that until it is warm by the clock or registers so", async () => {
    write("u1", createUpstream("u1", "a", 2_000, 2));
    const warmTime = clock.getTime() + 2_000;
    assert.equal(getWarmTimes(), [["u1", warmTime], ["u2", undefined]]);
    await clock.run(1_000);
    write("u2", createUpstream("u2", "b", 100, 2));
    assert.equal(getWarmTimes(), [["u1", warmTime], ["u2", clock.getTime() + 100]]);
    write("u1", createUpstream("u1", "a", 0, 3));
    assert.equal(getWarmTimes()[0], ["u1", undefined]);
    write("u1", createUpstream("u1", "a", 3_000, 4));
    assert.equal(getWarmTimes()[0], ["u1", clock.getTime() + 3_000]);
    await clock.run(3_100);
    write("u2", createUpstream("u2", "b", 0, 4));
    assert.equal(getWarmTimes(), [["u1", undefined], ["u2", undefined]]);
});

test("an evacuation of a zone that doesn't exist is logged with its name and changes nothing", () => {
    write("evacuate/z", { kind: StoreItemKind.Evacuation, zone: "z" });
    assert.equal(getDraining(), []);
    const [record] = find(Decision.ZoneEvacuated);
    assert.equal([record!.reason, record!.figures?.["zone"]], ["no upstream and no host is in it", "z"]);
});

test.run();

function write(key: string, item: StoreItem): void {
    const value = `${key}-${++revision}`;
    items.set(value, item);
    supply.apply([{ key, revision, value }]);
}

function remove(key: string): void {
    supply.apply([{ key, revision: ++revision }]);
}

function find(kind: Decision): readonly DecisionRecord[] {
    return decisions.find({}).filter(({ decision }) => decision === kind);
}

function getDraining(): string[] {
    const { upstreams } = supply.getConfiguration()!.getService("orders")!;
    return upstreams.filter(upstream => upstream.draining === true).map(({ name }) => name);
}

function getWarmTimes(): (readonly [string, number | undefined])[] {
    const { upstreams } = supply.getConfiguration()!.getService("orders")!;
    return upstreams.map(({ name, warmTime }) => [name, warmTime] as const);
}

function createUpstream(name: string, zone: string, coldMs = 0, sequence = 1): StoreItem {
    const upstream = { name, address: "127.0.0.1:1", zone, slots: 6, connections: 1, coldMs };
    return { kind: StoreItemKind.Upstream, service: "orders", sequence, startTime: 0, upstream };
}

function createDocument(): StoreItem {
    const route = { name: "r", path: "/", methods: [], service: "orders", kind: RouteKind.Order };
    return {
        kind: StoreItemKind.Configuration,
        document: {
            version: 1,
            accounts: [],
            findings: [],
            accountsByKey: new Map(),
            routes: [{ ...route, access: RouteAccess.Open, deadlineMs: 1_000, maxBodyBytes: 1_000 }],
            services: [{
                ...GATEWAY_SERVICE_DEFAULTS,
                name: "orders",
                floor: 0.7,
                retryBudget: 0.2,
                connections: 330,
                coldStartMs: COLD_START_MS,
            }],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
        },
    };
}
