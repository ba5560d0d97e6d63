import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { EdgeResponse } from "./support/EdgeResponse.js";

const HOSTS = 3;
const LIMIT_PER_S = 1;
const LOAD_MS = 9_000;
const PAUSE_MS = 50;
/** Time after the first response with the limit from which the limit is in force, in milliseconds. */
const IN_FORCE_MS = 3_000;
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** Requests that may reach the upstream in one window: one and a half times what its limit allows, and five. */
const ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_MS / MS_PER_SECOND + 5;

const test = suite("an upstream's request rate limit");
const fleet = new EdgeFleet();

test.before(() => fleet.start(HOSTS, ["catalogue", "orders", "books"]));

test.after(() => fleet.stop());

test("an upstream that names a limit in its responses gets no more requests from all hosts than that allows", async () => {
    const limited = fleet.upstreams.get("i-catalogue-1")!;
    limited.extraHeaders = { "server-limit": String(LIMIT_PER_S) };
    const responses: Promise<EdgeResponse>[] = [];
    const start = performance.now();
    for (let index = 0; performance.now() - start < LOAD_MS; index++) {
        responses.push(fleet.send(fleet.hosts[index % HOSTS]!, `/lookup/l${index}`, { key: "key-3" }));
        await wait(PAUSE_MS);
    }
    const statuses = (await Promise.all(responses)).map(response => response.status);
    assert.equal(new Set(statuses), new Set([200]));
    const times = limited.received.map(({ time }) => time);
    assert.ok(times.length > 0, "the upstream got a request");
    const counted = times.filter(time => time >= times[0]! + IN_FORCE_MS);
    assert.ok(counted.length > 0, "the upstream gets requests while its limit is in force");
    const most = Math.max(
        ...counted.map(first => counted.filter(time => time >= first && time < first + WINDOW_MS).length),
    );
    assert.ok(most <= ALLOWED, `${most} requests arrived in ${WINDOW_MS} ms, ${ALLOWED} are allowed`);
});

test.run();
