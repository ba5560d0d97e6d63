import { setTimeout as wait } from "node:timers/promises";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { EdgeResponse } from "./support/EdgeResponse.js";
import { StoreFaultMode } from "./support/StoreFaultMode.js";

const HOSTS = 3;
const SERVICES = ["catalogue", "orders", "books"];
const POLL_MS = 50;

const test = suite("edge processes");
const fleet = new EdgeFleet();
const { store, upstreams } = fleet;

test.before(() => fleet.start(HOSTS, SERVICES));

test.after(() => fleet.stop());

test("each kind of request is served with the upstream's own answer, and its key stays behind", async () => {
    for (const [path, method] of [["/lookup/1", "GET"], ["/order/1", "POST"], ["/books/1", "GET"]] as const) {
        const answer = await fleet.send(fleet.hosts[0]!, path, { method, body: method === "POST" ? "two clogs" : "" });
        assert.is(answer.status, 200);
        assert.match(answer.body, new RegExp(`^answer of i-.* to ${path}$`));
        assert.match(String(answer.headers["fuchsiapath-response-seal"]), /^seal-i-/);
    }
    const seen = [...upstreams.values()].flatMap(upstream => upstream.received);
    assert.ok(seen.every(item => item.account === "clogs" && !item.hasKey));
    assert.equal(seen.filter(item => item.path === "/order/1").map(item => item.body), ["two clogs"]);
});

test("a request without a key is served on a public route only, and one without a route not at all", async () => {
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/open/1", { key: undefined })).status, 200);
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/1", { key: undefined })).status, 401);
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/1", { key: "forged" })).status, 401);
    assert.is((await fleet.send(fleet.hosts[1]!, "/nowhere/1")).status, 404);
});

test("a failed lookup is sent to another upstream, a failed order to none", async () => {
    for (const service of ["catalogue", "orders"]) {
        upstreams.get(`i-${service}-1`)!.isFailing = true;
        upstreams.get(`i-${service}-2`)!.isFailing = false;
    }
    const lookups = await Promise.all(
        Array.from({ length: 6 }, (_, index) => fleet.send(fleet.hosts[2]!, `/lookup/f${index}`)),
    );
    assert.equal(new Set(lookups.map(answer => answer.status)), new Set([200]));
    const orders = await Promise.all(
        Array.from(
            { length: 6 },
            (_, index) => fleet.send(fleet.hosts[2]!, `/order/f${index}`, { method: "POST", body: "x" }),
        ),
    );
    const seen = [...upstreams.values()].flatMap(upstream => upstream.received).filter(item =>
        item.path.startsWith("/order/f")
    );
    const ran = orders.filter(answer => answer.status === 200 || answer.status === 500).length;
    assert.is(seen.length, ran);
    upstreams.forEach(upstream => (upstream.isFailing = false));
});

test("a withdrawn key stops working everywhere, and a version that can't be read changes nothing", async () => {
    store.write("op/config", "{}");
    store.write("op/config", createDocument({ version: 8, tenants: { clogs: { api_keys: ["key-2"] } } }));
    await fleet.waitUntil(async () => {
        const answers = await Promise.all(fleet.hosts.map(host => fleet.send(host, "/lookup/w")));
        return answers.every(answer => answer.status === 401);
    });
    assert.is((await fleet.send(fleet.hosts[0]!, "/lookup/w", { key: "key-2" })).status, 200);
    store.write("op/config", createDocument({ version: 9 }));
    await fleet.waitUntil(async () => (await fleet.send(fleet.hosts[0]!, "/lookup/w")).status === 200);
    assert.match(fleet.hosts.map(host => host.getLog()).join(""), /entry-not-readable/);
});

test("an account above its rate is refused as not run, with the time to come back", async () => {
    const tenants = { clogs: { api_keys: ["key-1"], rate_per_s: 1, burst: 1 } };
    store.write("op/config", createDocument({ version: 10, tenants }));
    const sendAll = async (): Promise<EdgeResponse[]> =>
        await Promise.all(
            Array.from({ length: 9 }, (_, index) => fleet.send(fleet.hosts[index % HOSTS]!, "/lookup/q")),
        );
    await fleet.waitUntil(async () =>
        (await sendAll()).some(answer => answer.status === 429 && Number(answer.headers["retry-after"]) > 0)
    );
    // Without a rate, as the polls of the tests that follow would spend it.
    store.write("op/config", createDocument({ version: 11, tenants: { clogs: { api_keys: ["key-1", "key-2"] } } }));
    await fleet.waitUntil(async () => (await sendAll()).every(answer => answer.status === 200));
});

test("an upstream that drains or leaves gets no more work", async () => {
    fleet.publishUpstream("i-catalogue-1", "catalogue", { state: "draining", seq: 9 });
    store.remove("servers/i-orders-1");
    await fleet.waitUntil(async () =>
        !(await isUsed("i-catalogue-1", "/lookup/d")) && !(await isUsed("i-orders-1", "/order/d"))
    );
    assert.is((await fleet.send(fleet.hosts[0]!, "/lookup/d")).status, 200);
    fleet.publishUpstream("i-catalogue-1", "catalogue", { seq: 10 });
    fleet.publishUpstream("i-orders-1", "orders", { seq: 10 });
    await fleet.waitUntil(() => isUsed("i-catalogue-1", "/lookup/d"));
});

test("serving goes on while the store is away, and what lapsed meanwhile is back", async () => {
    store.faultMode = StoreFaultMode.Unavailable;
    await wait(POLL_MS);
    for (const host of fleet.hosts) {
        assert.is((await fleet.send(host, "/lookup/a")).status, 200);
    }
    store.removeLeases();
    store.faultMode = StoreFaultMode.None;
    await fleet.waitUntil(async () => store.getKeys("fuchsiapath/hosts/").length === HOSTS);
    assert.is((await fleet.send(fleet.hosts[0]!, "/lookup/a")).status, 200);
});

test("the metrics count what was decided", async () => {
    const answer = await request(`http://${fleet.hosts[0]!.metricsAddress}/metrics`);
    const text = await answer.body.text();
    assert.match(text, /fuchsiapath_decisions_total\{decision="answered",service=""\} \d+/);
    assert.match(text, /fuchsiapath_request_duration_seconds_bucket/);
});

test("a planned stop cuts no request, and callers learn of it at once", async () => {
    upstreams.forEach(upstream => (upstream.delayMs = 500));
    const open = Array.from(
        { length: 6 },
        (_, index) => fleet.send(fleet.hosts[2]!, `/order/s${index}`, { method: "POST", body: "x" }),
    );
    await wait(POLL_MS);
    fleet.hosts[2]!.sendSignal("SIGTERM");
    await fleet.waitUntil(async () => !(await fleet.isReady(fleet.hosts[2]!)));
    assert.is((await fleet.findAddresses(fleet.hosts[2]!)).includes(fleet.hosts[2]!.callerAddress), false);
    await fleet.waitUntil(async () =>
        !(await fleet.findAddresses(fleet.hosts[0]!)).includes(fleet.hosts[2]!.callerAddress)
    );
    assert.equal((await Promise.all(open)).map(answer => answer.status), [200, 200, 200, 200, 200, 200]);
    assert.is(await fleet.hosts[2]!.waitForExit(), 0);
    upstreams.forEach(upstream => (upstream.delayMs = 0));
    assert.is((await fleet.send(fleet.hosts[0]!, "/order/after", { method: "POST", body: "x" })).status, 200);
});

test("a host that was killed is missed by nobody, and comes back", async () => {
    fleet.hosts[1]!.sendSignal("SIGKILL");
    await fleet.hosts[1]!.waitForExit();
    for (let index = 0; index < 10; index++) {
        assert.is((await fleet.send(fleet.hosts[0]!, `/lookup/k${index}`)).status, 200);
    }
    await fleet.hosts[1]!.start();
    await fleet.waitUntil(() => fleet.isReady(fleet.hosts[1]!));
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/back")).status, 200);
});

test("an answer without a length that ends early never looks whole", async () => {
    upstreams.forEach(upstream => (upstream.isTruncating = true));
    const sends = fleet.hosts.slice(0, 2).flatMap(host =>
        (["GET", "POST"] as const).map(method =>
            fleet.send(host, method === "GET" ? "/lookup/cut" : "/order/cut", { method, body: "x" })
                .then(answer => answer.status, () => "cut")
        )
    );
    assert.is((await Promise.all(sends)).includes(200), false);
});

test.run();

/** Whether an upstream gets any of some requests. */
async function isUsed(id: string, path: string): Promise<boolean> {
    const upstream = upstreams.get(id)!;
    const before = upstream.received.length;
    const method = path.startsWith("/order") ? "POST" : "GET";
    await Promise.all(Array.from({ length: 8 }, () => fleet.send(fleet.hosts[0]!, path, { method, body: "x" })));
    return upstream.received.length > before;
}
