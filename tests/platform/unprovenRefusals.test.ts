import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 3;
const SERVICES = ["catalogue", "orders"];
const UPSTREAMS_AT_START = 2;
const ORDERS = 12;
/** Statuses by which callers are told that a request was not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const test = suite("unproven refusals through edge processes");
const fleet = new EdgeFleet();

test.before(async () => {
    await fleet.start(HOSTS, SERVICES);
    for (let number = UPSTREAMS_AT_START + 1; number <= NOT_RUN_STATUSES.length + 1; number++) {
        await Promise.all(SERVICES.map(service => fleet.addUpstream(`i-${service}-${number}`, service)));
    }
});

test.after(() => fleet.stop());

// Guards against REFUSED (review/10) and TWICE: an upstream ran an order and failed it with a status that was taken for "not run".
for (const [index, status] of NOT_RUN_STATUSES.entries()) {
    test(`an order that ran is not called not run because its upstream answers ${status}`, async () => {
        const failing = fleet.upstreams.get(`i-orders-${index + 1}`)!;
        failing.status = status;
        const ranBefore = failing.received.length;
        await fleet.waitUntil(async () => {
            await sendOrders(status);
            return failing.received.length > ranBefore;
        });
        failing.status = 200;
    });
}

// Guards against lookups that fail with an unproven refusal of one upstream, though another one serves them.
for (const [index, status] of NOT_RUN_STATUSES.entries()) {
    test(`a lookup is sent to another upstream if one answers ${status}`, async () => {
        const failing = fleet.upstreams.get(`i-catalogue-${index + 1}`)!;
        failing.status = status;
        const ranBefore = failing.received.length;
        await fleet.waitUntil(async () => {
            const responses = await Promise.all(
                fleet.hosts.map(host => fleet.send(host, `/lookup/${status}-${host.id}`)),
            );
            responses.forEach(response => assert.is(response.status, 200));
            return failing.received.length > ranBefore;
        });
        failing.status = 200;
    });
}

test.run();

async function sendOrders(status: number): Promise<void> {
    for (let index = 0; index < ORDERS; index++) {
        const path = `/order/${status}-${performance.now()}`;
        const host = fleet.hosts[index % HOSTS]!;
        const order = await fleet.send(host, path, { method: "POST", body: "x" });
        const runs = [...fleet.upstreams.values()].flatMap(({ received }) => received).filter(item =>
            item.path === path
        );
        assert.ok(runs.length <= 1, `${runs.length} runs of an order`);
        assert.ok([200, 502, 503].includes(order.status), `an order was answered ${order.status}`);
        assert.is(order.status === 503, runs.length === 0, `an order with ${runs.length} runs: ${order.status}`);
        if (order.status === 502) {
            assert.is(order.headers["fuchsiapath-response-seal"], undefined);
        }
    }
}
