import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 3;
/** Names that no header field carries unchanged: blanks at an end, control characters, more than one octet, nothing. */
const UNSUITABLE_NAMES = [" soles", "soles ", "\tsoles", "a\nb", "a\u0000b", "\u0e23\u0e49\u0e32\u0e19", ""];
/** Odd names that a header field carries unchanged. */
const SUITABLE_NAMES = ["__proto__", "constructor", "a b", "a,b", "*", "caf\u00e9"];

const test = suite("names of accounts in the header fields of requests");
const fleet = new EdgeFleet();

test.before(() => fleet.start(HOSTS, ["catalogue", "orders", "books"]));

test.after(() => fleet.stop());

// Guards against UNASKED: orders of an account named " soles" ran as those of "soles".
test("an account runs under its own name or not at all, and takes nothing from other accounts", async () => {
    const names = [...UNSUITABLE_NAMES, ...SUITABLE_NAMES];
    const { tenants } = createDocument() as { tenants: Record<string, object>; };
    const added = names.map((name, index) => [name, { api_keys: [`odd-${index}`] }] as const);
    const entries = [...Object.entries(tenants), ...added];
    fleet.store.write("op/config", createDocument({ version: 8, tenants: createTable(entries) }));
    await fleet.waitUntil(async () =>
        (await Promise.all(fleet.hosts.map(host => sendOrder(host, names.length - 1)))).every(status => status === 200)
    );
    const statuses = new Map<string, Set<number>>();
    for (const [index, name] of names.entries()) {
        for (const host of fleet.hosts) {
            statuses.set(name, (statuses.get(name) ?? new Set()).add(await sendOrder(host, index)));
            const other = await fleet.send(host, "/order/other", { method: "POST", body: "x" });
            assert.is(other.status, 200, `an order of another account beside ${JSON.stringify(name)}`);
        }
    }
    const found = names.map(name => [name, [...statuses.get(name)!]] as const);
    assert.equal(found, names.map(name => [name, [UNSUITABLE_NAMES.includes(name) ? 503 : 200]] as const));
    for (const [index, name] of names.entries()) {
        const expected = UNSUITABLE_NAMES.includes(name) ? [] : [name];
        assert.equal([...new Set(findAccounts(`/order/odd-${index}`))], expected, JSON.stringify(name));
    }
});

// Guards against a document that is refused as a whole for one entry.
test("a defective entry costs only itself and is reported with its place", async () => {
    const { routes, services, tenants } = createDocument() as Record<string, Record<string, object>>;
    fleet.store.write(
        "op/config",
        createDocument({
            version: 9,
            routes: { ...routes, "r-bad": { ...routes!["r-order"], prefix: "/order/bad/", timeout_s: "soon" } },
            services: { ...services, bad: { max_conns: -1 } },
            tenants: { ...tenants, broken: { api_keys: ["key-broken"], rate_per_s: "many" }, "": {} },
        }),
    );
    const [host] = fleet.hosts;
    const send = async (path: string, key = "key-1"): Promise<number> =>
        (await fleet.send(host!, path, { method: "POST", body: "x", key })).status;
    await fleet.waitUntil(async () => await send("/order/1", "key-broken") === 503);
    assert.is(await send("/order/1"), 200);
    assert.is(await send("/order/bad/1"), 503);
    assert.equal(findAccounts("/order/bad/1"), []);
    const log = host!.getLog();
    for (const place of ["routes[\\\\\"r-bad\\\\\"]", "services[\\\\\"bad\\\\\"]", "tenants[\\\\\"broken\\\\\"]"]) {
        assert.ok(log.includes(place.replaceAll("\\\\", "\\")), place);
    }
    const metrics = await (await request(`http://${host!.metricsAddress}/metrics`)).body.text();
    const count = /^fuchsiapath_configuration_findings (\d+)$/m.exec(metrics)?.[1];
    assert.ok(Number(count) >= 4, `${count} findings`);
});

test.run();

async function sendOrder(host: EdgeFleet["hosts"][number], index: number): Promise<number> {
    const key = `odd-${index}`;
    return (await fleet.send(host, `/order/${key}`, { method: "POST", body: "x", key })).status;
}

/** Creates a table that holds each entry as its own property, one named "__proto__" included. */
function createTable(entries: readonly (readonly [string, object])[]): object {
    return Object.fromEntries(entries);
}

/** Finds the accounts under which requests for a path ran. */
function findAccounts(path: string): unknown[] {
    return [...fleet.upstreams.values()].flatMap(({ received }) => received)
        .filter(item => item.path === path).map(({ account }) => account);
}
