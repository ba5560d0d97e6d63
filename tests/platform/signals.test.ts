import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { EdgeProcess } from "./support/EdgeProcess.js";
import { StoreFaultMode } from "./support/StoreFaultMode.js";

const test = suite("signals of an edge process");
const fleet = new EdgeFleet();

test.before(() => fleet.start(1, ["catalogue", "orders", "books"]));

test.after(() => fleet.stop());

test("SIGHUP does not end a process that still waits for the store", async () => {
    const host = await startWithoutStore();
    host.sendSignal("SIGHUP");
    await fleet.waitUntil(async () => host.getLog().includes("the settings were checked"));
    fleet.store.faultMode = StoreFaultMode.None;
    await fleet.waitUntil(() => fleet.isReady(host));
    assert.is((await fleet.send(host, "/lookup/1")).status, 200);
});

test("SIGTERM ends a process that still waits for the store, as one that has stopped", async () => {
    const host = await startWithoutStore();
    host.sendSignal("SIGTERM");
    assert.is(await host.waitForExit(), 0);
    fleet.store.faultMode = StoreFaultMode.None;
    await host.start();
    await fleet.waitUntil(() => fleet.isReady(host));
});

test("a second SIGTERM cuts no request that the first lets end", async () => {
    const host = fleet.hosts[0]!;
    const upstreams = [...fleet.upstreams.values()];
    const getReceived = (): number => upstreams.reduce((sum, upstream) => sum + upstream.received.length, 0);
    const before = getReceived();
    upstreams.forEach(upstream => (upstream.delayMs = 1_000));
    const response = fleet.send(host, "/order/1", { method: "POST", body: "x" });
    await fleet.waitUntil(async () => getReceived() > before);
    host.sendSignal("SIGTERM");
    await fleet.waitUntil(async () => !await fleet.isReady(host));
    host.sendSignal("SIGTERM");
    assert.is((await response).status, 200);
    assert.is(await host.waitForExit(), 0);
});

test.run();

/** Restarts the host while the store refuses all calls, and waits until it has been refused. */
async function startWithoutStore(): Promise<EdgeProcess> {
    const host = fleet.hosts[0]!;
    fleet.store.faultMode = StoreFaultMode.Unavailable;
    await host.stop();
    const getRefusals = (): number => host.getLog().split("peer-secret-not-read").length;
    const before = getRefusals();
    await host.start();
    await fleet.waitUntil(async () => getRefusals() > before);
    return host;
}
