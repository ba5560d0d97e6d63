import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";
import { StoreFaultMode } from "./support/StoreFaultMode.js";

const ACCOUNT = { priority: 0, rate_per_s: 34, burst: 34 };
const REQUESTS = 20;
const ENTRY_KEY = "fuchsiapath/hosts/edge-0";

const test = suite("a restarted entry host");
const fleet = new EdgeFleet();

test.before(() => fleet.start(1, ["catalogue", "orders", "books"]));

test.after(() => fleet.stop());

// Guards against a restarted host without callers: the store carried out a write of the process before, and its entry stayed for 30 s.
test("puts its entry back when a write of the process before comes late", async () => {
    const [host] = fleet.hosts;
    const earlier = readEntry();
    await host!.stop();
    await host!.start();
    await fleet.waitUntil(async () =>
        ![earlier, ""].includes(readEntry()) && await fleet.isReady(host!).catch(() => false)
    );
    fleet.store.write(ENTRY_KEY, earlier);
    assert.is(readEntry(), earlier);
    await fleet.waitUntil(async () => readEntry() !== earlier);
    await fleet.waitUntil(async () => (await fleet.findAddresses(host!)).length === 1);
});

test("serves neither a withdrawn key nor an upstream that has left from an old copy of the store", async () => {
    const [host] = fleet.hosts;
    assert.is((await fleet.send(host!, "/lookup/1")).status, 200);
    fleet.store.faultMode = StoreFaultMode.StaleOnly;
    fleet.store.write(
        "op/config",
        createDocument({ version: 8, tenants: { clogs: { ...ACCOUNT, api_keys: ["key-2"] } } }),
    );
    fleet.store.remove("servers/i-catalogue-1");
    await host!.stop();
    await host!.start();
    await fleet.waitUntil(async () => await fleet.send(host!, "/lookup/1").then(() => true, () => false));
    const statuses = new Set<number>();
    for (let index = 0; index < REQUESTS; index++) {
        statuses.add((await fleet.send(host!, `/lookup/${index}`)).status);
    }
    assert.equal(statuses, new Set([503]));
    assert.is(await fleet.isReady(host!), false);
    fleet.store.faultMode = StoreFaultMode.None;
    await fleet.waitUntil(() => fleet.isReady(host!));
    assert.is((await fleet.send(host!, "/lookup/1")).status, 401);
    const left = fleet.upstreams.get("i-catalogue-1")!;
    const before = left.received.length;
    for (let index = 0; index < REQUESTS; index++) {
        assert.is((await fleet.send(host!, `/lookup/${index}`, { key: "key-2" })).status, 200);
    }
    assert.is(left.received.length, before);
});

test.run();

function readEntry(): string {
    return fleet.store.findValue(ENTRY_KEY) ?? "";
}
