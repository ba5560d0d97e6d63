import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 3;
const ODD_STATUSES = ["600", "199", "000"];
const REQUESTS = 12;

const test = suite("odd statuses through edge processes");
const fleet = new EdgeFleet();

test.before(() => fleet.start(HOSTS, ["catalogue", "orders"]));

test.after(() => fleet.stop());

// Guards against MIXED: an upstream in trouble sent status 600 or 999, and the caller got it as an answer.
test("no caller gets an odd status as an answer, and no order runs twice or is called not run after it ran", async () => {
    const odd = [fleet.upstreams.get("i-catalogue-1")!, fleet.upstreams.get("i-orders-1")!];
    for (const status of ODD_STATUSES) {
        odd.forEach(upstream => (upstream.statusLine = `HTTP/1.1 ${status} Odd`));
        const before = odd.map(upstream => upstream.received.length);
        await fleet.waitUntil(async () => {
            await sendRequests(status);
            return odd.every((upstream, index) => upstream.received.length > before[index]!);
        });
        assert.ok(fleet.hosts.some(host => host.getLog().includes(`status ${status}`)), `status ${status} in a log`);
    }
    odd.forEach(upstream => (upstream.statusLine = undefined));
});

test.run();

async function sendRequests(status: string): Promise<void> {
    for (let index = 0; index < REQUESTS; index++) {
        const host = fleet.hosts[index % HOSTS]!;
        const path = `/order/${status}-${performance.now()}`;
        const [lookup, order] = await Promise.all([
            fleet.send(host, `/lookup/${status}-${index}`),
            fleet.send(host, path, { method: "POST", body: "x" }),
        ]);
        const runs = [...fleet.upstreams.values()].flatMap(({ received }) => received).filter(item =>
            item.path === path
        );
        assert.is(lookup.status, 200, `a lookup beside status ${status}`);
        assert.ok(runs.length <= 1, `${runs.length} runs of an order beside status ${status}`);
        assert.ok([200, 502, 503].includes(order.status), `an order was answered ${order.status}`);
        assert.is(order.status === 503, runs.length === 0, `an order with ${runs.length} runs: ${order.status}`);
    }
}
