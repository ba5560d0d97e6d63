import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";

const ACCOUNT = { priority: 0, rate_per_s: 34, burst: 34 };
const HOSTS = 3;
/** Time in which the entry hosts notice that the store has returned, in milliseconds. */
const NOTICE_MS = 2_500;

const test = suite("a store that returns from an older copy");
let fleet: EdgeFleet;

test.before.each(async () => {
    fleet = new EdgeFleet();
    await fleet.start(HOSTS, ["catalogue", "orders", "books"]);
});

test.after.each(() => fleet.stop());

test("a configuration that is written after the store's return is in force at all hosts", async () => {
    const { store } = fleet;
    const copy = store.createCopy();
    for (let version = 8; version < 14; version++) {
        store.write("op/config", createDocument({ version }));
    }
    await waitForStatus("/lookup/1", 200);
    store.restoreCopy(copy);
    await wait(NOTICE_MS);
    const { routes } = createDocument() as { routes: Record<string, object>; };
    store.write(
        "op/config",
        createDocument({
            version: 14,
            routes: { ...routes, "r-new": { ...routes["r-lookup"], prefix: "/added/" } },
            tenants: { clogs: { ...ACCOUNT, api_keys: ["key-new"] } },
        }),
    );
    await waitForStatus("/added/1", 200, "key-new");
    await waitForStatus("/lookup/1", 401, "key-1");
});

test("what was in force stays in force while the store has an older configuration", async () => {
    const { store } = fleet;
    const copy = store.createCopy();
    store.write("op/config", createDocument({ version: 8, tenants: { clogs: { ...ACCOUNT, api_keys: ["key-2"] } } }));
    await waitForStatus("/lookup/1", 401, "key-1");
    store.restoreCopy(copy);
    const end = performance.now() + NOTICE_MS;
    while (performance.now() < end) {
        const responses = await Promise.all(fleet.hosts.map(host => fleet.send(host, "/lookup/1", { key: "key-1" })));
        assert.equal(responses.map(({ status }) => status), [401, 401, 401]);
    }
    await fleet.hosts[1]!.stop();
    await fleet.hosts[1]!.start();
    await fleet.waitUntil(() => fleet.isReady(fleet.hosts[1]!));
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/1", { key: "key-1" })).status, 401);
    assert.is((await fleet.send(fleet.hosts[1]!, "/lookup/1", { key: "key-2" })).status, 200);
});

test("hosts write their entries, and the secret they share, to the store again", async () => {
    const { store } = fleet;
    const copy = store.createCopy();
    const emptyCopy = {
        ...copy,
        items: new Map([...copy.items].filter(([key]) => !key.startsWith("fuchsiapath/"))),
        leases: [],
        nextLease: 1,
    };
    const secret = store.findValue("fuchsiapath/peer-secret");
    store.restoreCopy(emptyCopy);
    await fleet.waitUntil(async () => store.getKeys("fuchsiapath/hosts/").length === HOSTS);
    await fleet.waitUntil(async () => store.findValue("fuchsiapath/peer-secret") === secret);
    await waitForStatus("/lookup/1", 200);
    await fleet.hosts[0]!.stop();
    await fleet.hosts[0]!.start();
    await waitForStatus("/lookup/1", 200);
});

test("the store is not asked more often after its return than before", async () => {
    const { store } = fleet;
    const copy = store.createCopy();
    for (let index = 0; index < 6; index++) {
        store.write("op/config", createDocument({ version: 8 + index }));
    }
    await wait(NOTICE_MS);
    store.restoreCopy(copy);
    await wait(NOTICE_MS);
    const before = store.calls.length;
    await wait(NOTICE_MS);
    assert.ok(store.calls.length - before <= 20, `${store.calls.length - before} calls in ${NOTICE_MS} ms`);
});

test.run();

async function waitForStatus(path: string, status: number, key = "key-2"): Promise<void> {
    await fleet.waitUntil(async () => {
        const responses = await Promise.all(fleet.hosts.map(host => fleet.send(host, path, { key }).catch(() => {})));
        return responses.every(response => response?.status === status);
    });
}
