import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 3;
const PAUSE_MS = 20;
/** Time after its write within which an evacuation is in force at all hosts, in milliseconds. */
const IN_FORCE_MS = 2_000;
const LOAD_MS = 5_000;
const LONG_REQUEST_MS = 1_500;
const ZONE_KEY = "op/evacuate/zone-b";
const SERVICES = ["catalogue", "orders", "books"];

const test = suite("an evacuation of a zone");
let fleet: EdgeFleet;
let nextRequest = 0;

test.before.each(async () => {
    fleet = new EdgeFleet();
    await fleet.start(HOSTS, SERVICES);
    // All hosts are in a third zone, so that they use both equally.
    for (const service of SERVICES) {
        fleet.publishUpstream(`i-${service}-1`, service, { zone: "zone-c", seq: 5 });
        fleet.publishUpstream(`i-${service}-2`, service, { zone: "zone-b", seq: 5 });
    }
    await wait(IN_FORCE_MS);
});

test.after.each(() => fleet.stop());

test("its upstreams get nothing new, running requests end, and no caller notices", async () => {
    fleet.upstreams.get("i-orders-2")!.delayMs = LONG_REQUEST_MS;
    const orders = Array.from({ length: 8 }, (_, index) => sendOrder(index));
    await fleet.waitUntil(async () => fleet.upstreams.get("i-orders-2")!.received.length > 0);
    fleet.store.write(ZONE_KEY, {});
    const load = runLoad(LOAD_MS);
    await wait(IN_FORCE_MS);
    const before = getReceived();
    assert.equal(new Set(await load), new Set([200]));
    assert.equal(new Set(await Promise.all(orders)), new Set([200]));
    assert.is(getReceived(), before);
});

test("a host that starts in the middle sends nothing there, and the zone is used again once it is taken back", async () => {
    fleet.store.write(ZONE_KEY, {});
    await wait(IN_FORCE_MS);
    const before = getReceived();
    await fleet.hosts[0]!.stop();
    await fleet.hosts[0]!.start();
    await fleet.waitUntil(() => fleet.isReady(fleet.hosts[0]!));
    assert.equal(new Set(await runLoad(LOAD_MS)), new Set([200]));
    assert.is(getReceived(), before);
    fleet.store.remove(ZONE_KEY);
    await fleet.waitUntil(async () => (await runLoad(500), getReceived() > before));
});

test("with all zones evacuated, callers are refused at once with a time to return", async () => {
    ["zone-b", "zone-c"].forEach(zone => fleet.store.write(`op/evacuate/${zone}`, {}));
    await wait(IN_FORCE_MS);
    for (const host of fleet.hosts) {
        const start = performance.now();
        const response = await fleet.send(host, "/lookup/all", { key: "key-3" });
        assert.is(response.status, 503);
        assert.ok(Number(response.headers["retry-after"]) > 0);
        assert.ok(performance.now() - start < 500);
    }
});

test("an entry that can't be read, or names no zone with an upstream, changes nothing", async () => {
    fleet.store.write(ZONE_KEY, "{\"");
    fleet.store.write("op/evacuate/zone-x", {});
    fleet.store.write("op/evacuate/", {});
    await wait(IN_FORCE_MS);
    const before = getReceived();
    assert.equal(new Set(await runLoad(LOAD_MS)), new Set([200]));
    assert.ok(getReceived() > before);
    const log = fleet.hosts[0]!.getLog();
    assert.ok(log.split("\n").some(line => line.includes("entry-not-readable") && line.includes(ZONE_KEY)));
    assert.match(log, /zone-x/);
});

test.run();

/** Gets the number of requests that the upstreams of zone-b have received. */
function getReceived(): number {
    return [...fleet.upstreams].filter(([id]) => id.endsWith("-2"))
        .reduce((sum, [, { received }]) => sum + received.length, 0);
}

async function sendOrder(index: number): Promise<number> {
    const options = { method: "POST" as const, body: "{}", key: "key-3", id: `o${index}` };
    return (await fleet.send(fleet.hosts[index % HOSTS]!, "/order/1", options)).status;
}

async function runLoad(durationMs: number): Promise<number[]> {
    const sent: Promise<number>[] = [];
    const end = performance.now() + durationMs;
    while (performance.now() < end) {
        const host = fleet.hosts[nextRequest % HOSTS]!;
        sent.push(fleet.send(host, `/lookup/${nextRequest++}`, { key: "key-3" }).then(({ status }) => status));
        await wait(PAUSE_MS);
    }
    return await Promise.all(sent);
}
