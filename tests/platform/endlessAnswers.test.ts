import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";

const HOSTS = 2;
const SERVICES = ["catalogue", "orders", "books"];
/** Time between two pieces of an answer, in milliseconds. */
const PAUSES_MS = [0, 50];

const test = suite("answers without end through edge processes");
const fleet = new EdgeFleet();
const { upstreams } = fleet;

test.before(() => fleet.start(HOSTS, SERVICES));

test.after(() => fleet.stop());

test("answers without end are no successes, and leave nothing running on their upstreams", async () => {
    for (const pauseMs of PAUSES_MS) {
        upstreams.forEach(upstream => (upstream.endlessChunkIntervalMs = pauseMs));
        const answers = fleet.hosts.flatMap((host, index) => [
            fleet.send(host, `/lookup/e${index}`),
            fleet.send(host, `/books/e${index}`),
            fleet.send(host, `/order/e${index}`, { method: "POST", body: "x" }),
        ]);
        const statuses = await Promise.all(answers.map(answer => answer.then(({ status }) => status, () => "cut")));
        assert.ok(statuses.every(status => status === "cut" || Number(status) >= 500), statuses.join());
        await fleet.waitUntil(async () =>
            [...upstreams.values()].every(upstream => upstream.openEndlessResponses === 0)
        );
    }
    upstreams.forEach(upstream => (upstream.endlessChunkIntervalMs = undefined));
    await fleet.waitUntil(async () => (await fleet.send(fleet.hosts[0]!, "/lookup/after")).status === 200);
});

test.run();
