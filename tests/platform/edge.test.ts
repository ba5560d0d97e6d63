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

test("forwards each kind of request with the upstream's response, and never the API key", async () => {
    for (const [path, method] of [["/lookup/1", "GET"], ["/order/1", "POST"], ["/books/1", "GET"]] as const) {
        const response = await fleet.send(fleet.hosts[0]!, path, {
            method,
            body: method === "POST" ? "two clogs" : "",
        });
        assert.is(response.status, 200);
        assert.match(response.body, new RegExp(`^answer of i-.* to ${path}$`));
        assert.match(String(response.headers["fuchsiapath-response-seal"]), /^seal-i-/);
    }
    const received = [...upstreams.values()].flatMap(upstream => upstream.received);
    assert.ok(received.every(item => item.account === "clogs" && !item.hasKey));
    assert.equal(received.filter(item => item.path === "/order/1").map(item => item.body), ["two clogs"]);
});

test("a request without a valid key is served on a public route only, and one without a route is refused", async () => {
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/open/1", { key: undefined })).status, 200);
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/1", { key: undefined })).status, 401);
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/1", { key: "forged" })).status, 401);
    assert.is((await fleet.send(fleet.hosts[1]!, "/nowhere/1")).status, 404);
});

test("a failed lookup is retried on another upstream, a failed order is not", async () => {
    for (const service of ["catalogue", "orders"]) {
        upstreams.get(`i-${service}-1`)!.isFailing = true;
        upstreams.get(`i-${service}-2`)!.isFailing = false;
    }
    const lookups = await Promise.all(
        Array.from({ length: 6 }, (_, index) => fleet.send(fleet.hosts[2]!, `/lookup/f${index}`)),
    );
    assert.equal(new Set(lookups.map(response => response.status)), new Set([200]));
    const orders = await Promise.all(
        Array.from(
            { length: 6 },
            (_, index) => fleet.send(fleet.hosts[2]!, `/order/f${index}`, { method: "POST", body: "x" }),
        ),
    );
    const received = [...upstreams.values()].flatMap(upstream => upstream.received).filter(item =>
        item.path.startsWith("/order/f")
    );
    const ranCount = orders.filter(response => response.status === 200 || response.status === 500).length;
    assert.is(received.length, ranCount);
    upstreams.forEach(upstream => (upstream.isFailing = false));
});

test("a withdrawn key is refused by all hosts, and an invalid configuration is ignored", async () => {
    store.write("op/config", "{}");
    store.write("op/config", createDocument({ version: 8, tenants: { clogs: { api_keys: ["key-2"] } } }));
    await fleet.waitUntil(async () => {
        const responses = await Promise.all(fleet.hosts.map(host => fleet.send(host, "/lookup/w")));
        return responses.every(response => response.status === 401);
    });
    assert.is((await fleet.send(fleet.hosts[0]!, "/lookup/w", { key: "key-2" })).status, 200);
    store.write("op/config", createDocument({ version: 9 }));
    await fleet.waitUntil(async () => (await fleet.send(fleet.hosts[0]!, "/lookup/w")).status === 200);
    assert.match(fleet.hosts.map(host => host.getLog()).join(""), /entry-not-readable/);
});

test("an account above its rate gets status 429 with a retry-after header", async () => {
    const tenants = { clogs: { api_keys: ["key-1"], rate_per_s: 1, burst: 1 } };
    store.write("op/config", createDocument({ version: 10, tenants }));
    const sendAll = async (): Promise<EdgeResponse[]> =>
        await Promise.all(
            Array.from({ length: 9 }, (_, index) => fleet.send(fleet.hosts[index % HOSTS]!, "/lookup/q")),
        );
    await fleet.waitUntil(async () =>
        (await sendAll()).some(response => response.status === 429 && Number(response.headers["retry-after"]) > 0)
    );
    // No rate limit, since the polling of the following tests would exceed it.
    store.write("op/config", createDocument({ version: 11, tenants: { clogs: { api_keys: ["key-1", "key-2"] } } }));
    await fleet.waitUntil(async () => (await sendAll()).every(response => response.status === 200));
});

test("a draining or removed upstream gets no more requests", async () => {
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

test("hosts serve requests during a store outage, and register again if their leases expired", async () => {
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

test("the metrics count decisions", async () => {
    const response = await request(`http://${fleet.hosts[0]!.metricsAddress}/metrics`);
    const text = await response.body.text();
    assert.match(text, /fuchsiapath_decisions_total\{decision="answered",service=""\} \d+/);
    assert.match(text, /fuchsiapath_request_duration_seconds_bucket/);
});

test("a planned stop aborts no request, and lookups exclude the host at once", async () => {
    upstreams.forEach(upstream => (upstream.delayMs = 500));
    const orders = Array.from(
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
    assert.equal((await Promise.all(orders)).map(response => response.status), [200, 200, 200, 200, 200, 200]);
    assert.is(await fleet.hosts[2]!.waitForExit(), 0);
    upstreams.forEach(upstream => (upstream.delayMs = 0));
    assert.is((await fleet.send(fleet.hosts[0]!, "/order/after", { method: "POST", body: "x" })).status, 200);
});

test("requests to other hosts succeed after a host is killed, and it serves again after a restart", async () => {
    fleet.hosts[1]!.sendSignal("SIGKILL");
    await fleet.hosts[1]!.waitForExit();
    for (let index = 0; index < 10; index++) {
        assert.is((await fleet.send(fleet.hosts[0]!, `/lookup/k${index}`)).status, 200);
    }
    await fleet.hosts[1]!.start();
    await fleet.waitUntil(() => fleet.isReady(fleet.hosts[1]!));
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/back")).status, 200);
});

// Guards against UNASKED (review/3): orders of an account named "anonymous" ran without the account's name.
test("an account named like a word of the program runs under its name, beside requests without an account", async () => {
    const hosts = fleet.hosts.slice(0, 2);
    const { tenants } = createDocument() as { tenants: Record<string, object>; };
    store.write(
        "op/config",
        createDocument({ version: 12, tenants: { ...tenants, anonymous: { api_keys: ["key-4"] } } }),
    );
    await fleet.waitUntil(async () =>
        (await Promise.all(hosts.map(host => fleet.send(host, "/lookup/n", { key: "key-4" }))))
            .every(({ status }) => status === 200)
    );
    for (const host of hosts) {
        await fleet.send(host, "/order/n", { key: "key-4", method: "POST", body: "x" });
        await fleet.send(host, "/lookup/open/n", { key: undefined });
    }
    const received = [...upstreams.values()].flatMap(upstream => upstream.received);
    const getAccounts = (path: string): unknown[] =>
        received.filter(item => item.path === path).map(item => item.account);
    assert.equal(getAccounts("/order/n"), ["anonymous", "anonymous"]);
    assert.equal(getAccounts("/lookup/open/n"), [undefined, undefined]);
});

test("a truncated response without a content length is never forwarded as complete", async () => {
    upstreams.forEach(upstream => (upstream.isTruncating = true));
    const sends = fleet.hosts.slice(0, 2).flatMap(host =>
        (["GET", "POST"] as const).map(method =>
            fleet.send(host, method === "GET" ? "/lookup/cut" : "/order/cut", { method, body: "x" })
                .then(response => response.status, () => "cut")
        )
    );
    assert.is((await Promise.all(sends)).includes(200), false);
});

test.run();

/** Sends eight requests; returns whether the upstream gets any of them. */
async function isUsed(id: string, path: string): Promise<boolean> {
    const upstream = upstreams.get(id)!;
    const before = upstream.received.length;
    const method = path.startsWith("/order") ? "POST" : "GET";
    await Promise.all(Array.from({ length: 8 }, () => fleet.send(fleet.hosts[0]!, path, { method, body: "x" })));
    return upstream.received.length > before;
}
