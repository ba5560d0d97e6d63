import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { MockPlatformUpstream } from "./support/MockPlatformUpstream.js";

const HOSTS = 3;
const PAUSE_MS = 50;
const LOAD_MS = 6_500;
/** Time after the first response from which a notice is kept, in milliseconds. */
const LEAVING_BOUND_MS = 2_000;
const RETRY_AFTER_BOUND_MS = 500;
const RETRY_AFTER_MS = 6_000;
/** Requests that may still come while the upstream wants none. */
const ALLOWED_IN_PAUSE = 2;

const test = suite("what an upstream says in its responses");
let fleet: EdgeFleet;
let upstream: MockPlatformUpstream;

test.before.each(async () => {
    fleet = new EdgeFleet();
    await fleet.start(HOSTS, ["catalogue", "orders", "books"]);
    upstream = fleet.upstreams.get("i-catalogue-1")!;
});

test.after.each(() => fleet.stop());

test("an upstream that says that it leaves gets nothing more, although it is registered as ready", async () => {
    upstream.extraHeaders = { "server-leaving": "1" };
    const statuses = await runLoad();
    assert.equal(new Set(statuses), new Set([200]));
    assert.is(getCountSince(LEAVING_BOUND_MS), 0);
});

for (
    const { name, proof } of [{ name: "with proof", proof: { "fuchsiapath-not-executed": "1" } }, {
        name: "without",
        proof: {},
    }]
) {
    test(`an upstream that refuses with a time to return gets nothing until then, ${name} that it did not run`, async () => {
        upstream.status = 503;
        upstream.extraHeaders = { "retry-after": String(RETRY_AFTER_MS / 1_000), ...proof };
        const statuses = await runLoad();
        assert.is(statuses.filter(status => status !== 200).length, 0);
        const count = getCountSince(RETRY_AFTER_BOUND_MS, RETRY_AFTER_MS);
        assert.ok(count <= ALLOWED_IN_PAUSE, `${count} requests while it wants none`);
    });
}

test.run();

async function runLoad(): Promise<number[]> {
    const sent: Promise<number>[] = [];
    const start = performance.now();
    for (let index = 0; performance.now() - start < LOAD_MS; index++) {
        sent.push(
            fleet.send(fleet.hosts[index % HOSTS]!, `/lookup/n${index}`, { key: "key-3" }).then(({ status }) => status),
        );
        await wait(PAUSE_MS);
    }
    return await Promise.all(sent);
}

/** Gets the number of requests that reached the upstream in a time after its first response. */
function getCountSince(fromMs: number, untilMs = Infinity): number {
    const times = upstream.received.map(({ time }) => time);
    return times.filter(time => time > times[0]! + fromMs && time < times[0]! + untilMs).length;
}
