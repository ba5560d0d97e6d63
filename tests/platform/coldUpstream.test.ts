import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { measureMostInWindow } from "../support/measureMostInWindow.js";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 3;
const PAUSE_MS = 25;
const SECOND_MS = 1_000;
const COLD_S = 4;
const COLD_RATE = 3;
const SERVICES = ["catalogue", "orders", "books"];
/** Time for a registration to be known everywhere, in milliseconds. */
const KNOWN_MS = 1_500;
/** Requests that may follow one another at once beyond the rate, and one of the host that has the part next. */
const BURST = 3;

const test = suite("upstreams of a zone that come back cold");
let fleet: EdgeFleet;
let nextRequest = 0;

test.before.each(async () => {
    fleet = new EdgeFleet();
    await fleet.start(HOSTS, SERVICES);
    const { services } = createDocument() as { services: Record<string, object>; };
    const changed = Object.entries(services).map(([name, service]) =>
        [name, { ...service, cold_start_s: COLD_S, cold_per_s: COLD_RATE }] as const
    );
    fleet.store.write("op/config", createDocument({ version: 8, services: Object.fromEntries(changed) }));
    // All hosts are in a third zone, so that they use both equally.
    fleet.publishUpstream("i-catalogue-1", "catalogue", { zone: "zone-c", seq: 5 });
    fleet.publishUpstream("i-catalogue-2", "catalogue", { zone: "zone-b", seq: 5 });
    await wait(KNOWN_MS);
});

test.after.each(() => fleet.stop());

test("get no more than they can take while they register as cold, and their share once they are warm", async () => {
    await runLoad(SECOND_MS);
    fleet.publishUpstream("i-catalogue-2", "catalogue", { zone: "zone-b", seq: 6, cold_left_s: COLD_S });
    await runLoad(KNOWN_MS);
    const start = performance.now();
    checkServed(await runLoad(2 * SECOND_MS));
    checkCold(start);
    fleet.publishUpstream("i-catalogue-2", "catalogue", { zone: "zone-b", seq: 7, cold_left_s: 0 });
    await wait(KNOWN_MS);
    const before = getTimes().length;
    await runLoad(SECOND_MS);
    assert.ok(getTimes().length - before > 2 * (COLD_RATE + BURST), "the warm zone is used");
});

test("get no more than they can take after an evacuation, although they don't register as cold", async () => {
    fleet.store.write("op/evacuate/zone-b", {});
    await runLoad(KNOWN_MS);
    fleet.store.remove("op/evacuate/zone-b");
    const start = performance.now();
    checkServed(await runLoad((COLD_S - 1) * SECOND_MS));
    checkCold(start);
});

test.run();

/** Checks that no request was refused; those that fail because a process was stalled on a busy machine say nothing here. */
function checkServed(statuses: readonly number[]): void {
    const refused = statuses.filter(status => status === 503).length;
    assert.is(refused, 0, `${refused} of ${statuses.length} refused`);
    assert.ok(statuses.filter(status => status === 200).length > 0.8 * statuses.length);
}

function checkCold(start: number): void {
    const times = getTimes().filter(time => time >= start);
    const most = measureMostInWindow(times, SECOND_MS);
    assert.ok(times.length > 0, "the cold zone is used");
    assert.ok(most <= COLD_RATE + BURST, `${most} requests in a second`);
}

function getTimes(): number[] {
    return fleet.upstreams.get("i-catalogue-2")!.received.map(({ time }) => time);
}

async function runLoad(durationMs: number): Promise<number[]> {
    const sent: Promise<number>[] = [];
    const end = performance.now() + durationMs;
    while (performance.now() < end) {
        const host = fleet.hosts[nextRequest % HOSTS]!;
        sent.push(fleet.send(host, `/lookup/${nextRequest++}`, { key: "key-3" }).then(({ status }) => status));
        await wait(PAUSE_MS);
    }
    return await Promise.all(sent);
}
