import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "../support/createDocument.js";
import { EdgeFleet } from "../support/EdgeFleet.js";
import { getPeakMemory } from "../support/getPeakMemory.js";
import { UpstreamFaultMode } from "../support/UpstreamFaultMode.js";

const HOSTS = 2;
const REQUESTS = 200;
const MANY_UPSTREAMS = 60;
const CONCURRENT = 20;
/** What a host may hold more than with ordinary refusals: a tenth. */
const MAX_GROWTH = 1.1;
/** The heap limit with which hosts run on the platform. */
const NODE_ARGUMENTS = ["--max-old-space-size=160", "--max-semi-space-size=2", "--expose-gc"];

const test = suite("refusals without an end");
const fleet = new EdgeFleet();
const { upstreams } = fleet;

test.before(async () => {
    await fleet.start(HOSTS, ["catalogue", "orders", "books"], { nodeArguments: NODE_ARGUMENTS });
    fleet.store.write(
        "op/config",
        createDocument({ version: 8, tenants: { clogs: { api_keys: ["key-1", "key-9"] } } }),
    );
    await fleet.waitUntil(async () =>
        (await Promise.all(fleet.hosts.map(host => fleet.send(host, "/lookup/new", { key: "key-9" }))))
            .every(({ status }) => status === 200)
    );
});

test.after(() => fleet.stop());

// Guards against a host that reads what upstreams send beside refusals without a bound: 170 MB held where 103 are usual.
test("fill no memory, and requests of other services are answered", async () => {
    await runRefused(UpstreamFaultMode.Shedding);
    await runRefused(UpstreamFaultMode.Shedding);
    const usual = fleet.hosts.map(host => getPeakMemory(host)!);
    await runRefused(UpstreamFaultMode.SheddingWithoutEnd);
    checkPeaks(usual);
    upstreams.forEach(upstream => (upstream.selectFault = () => UpstreamFaultMode.None));
    await fleet.waitUntil(async () =>
        [...upstreams.values()].every(upstream => upstream.openEndlessResponses === 0) &&
        (await fleet.send(fleet.hosts[0]!, "/order/after", { method: "POST", body: "x" })).status === 200
    );
});

// Guards against what one such upstream costs, times the upstreams of a service.
test("fill no memory when sixty upstreams of a service send them at once", async () => {
    for (let index = 3; index <= MANY_UPSTREAMS; index++) {
        await fleet.addUpstream(`i-orders-${index}`, "orders");
    }
    await runRefused(UpstreamFaultMode.Shedding);
    await runRefused(UpstreamFaultMode.Shedding);
    const usual = fleet.hosts.map(host => getPeakMemory(host)!);
    await runRefused(UpstreamFaultMode.SheddingWithoutEnd);
    checkPeaks(usual);
});

test.run();

/** Sends orders to upstreams that refuse them all, and lookups of another service beside them. */
async function runRefused(mode: UpstreamFaultMode): Promise<void> {
    upstreams.forEach((upstream, id) => {
        upstream.selectFault = () => id.startsWith("i-orders") ? mode : UpstreamFaultMode.None;
    });
    let next = 0;
    const sendNext = async (): Promise<void> => {
        while (next < REQUESTS) {
            const host = fleet.hosts[next++ % HOSTS]!;
            const order = await fleet.send(host, "/order/x", { method: "POST", body: "x" });
            assert.ok(order.status === 503 || order.status === 429, `${order.status}`);
            assert.is((await fleet.send(host, "/lookup/x")).status, 200);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENT }, sendNext));
}

function checkPeaks(usual: readonly number[]): void {
    const peaks = fleet.hosts.map(host => getPeakMemory(host)!);
    console.log(`peaks ${usual.join()} and ${peaks.join()} bytes`);
    peaks.forEach((peak, index) => assert.ok(peak <= MAX_GROWTH * usual[index]!, `${peak} after ${usual[index]}`));
}
