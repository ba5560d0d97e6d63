import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 3;
const ORDERS = 12;
/** Statuses by which callers are told that a request was not run. */
const NOT_RUN_STATUSES = [408, 429, 503];

const test = suite("unproven refusals through edge processes");
const fleet = new EdgeFleet();

test.before(() => fleet.start(HOSTS, ["catalogue", "orders"]));

test.after(() => fleet.stop());

// Guards against REFUSED (review/10): an upstream ran an order and failed it with 503, and the caller was told "not run".
for (const status of NOT_RUN_STATUSES) {
    test(`an order that ran is not called not run because its upstream answers ${status}`, async () => {
        const failing = fleet.upstreams.get("i-orders-1")!;
        failing.status = status;
        const ranBefore = failing.received.length;
        await fleet.waitUntil(async () => {
            await sendOrders(status);
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
