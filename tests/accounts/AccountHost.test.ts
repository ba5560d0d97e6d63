import { test } from "uvu";
import * as assert from "uvu/assert";
import { RouteKind } from "../../src/configuration/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { createAccountFleet } from "../support/createAccountFleet.js";

test("a lookup runs in the host's own zone and its answer is complete", async () => {
    const fleet = createAccountFleet(3);
    await fleet.start();
    const answer = fleet.run(1, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(100);
    assert.is(await readText(await answer), "ran r1");
    assert.equal(fleet.runs.map(run => run.zone), ["b"]);
});

test("an order runs once, and its resend gets the same answer", async () => {
    const fleet = createAccountFleet(3);
    await fleet.start();
    const idempotencyKey = `${fleet.hosts[0]!.host.createKeyPrefix()}.own-1`;
    const first = fleet.run(0, fleet.createRequest(RouteKind.Order, { idempotencyKey }));
    await fleet.clock.run(100);
    const second = fleet.run(2, fleet.createRequest(RouteKind.Order, { idempotencyKey }));
    await fleet.clock.run(100);
    assert.is(await readText(await first), "ran r1");
    assert.is(await readText(await second), "ran r1");
    assert.is(fleet.runs.length, 1);
});

test("a withdrawn API key starts no request, also on a host that has not seen the withdrawal yet; earlier outcomes are still found", async () => {
    const fleet = createAccountFleet(3);
    await fleet.start();
    const idempotencyKey = `${fleet.hosts[0]!.host.createKeyPrefix()}.own-1`;
    const first = fleet.run(0, fleet.createRequest(RouteKind.Order, { idempotencyKey }));
    await fleet.clock.run(100);
    fleet.withdrawnKeys.add("k");
    const again = fleet.run(0, fleet.createRequest(RouteKind.Order, { idempotencyKey }));
    const lookup = fleet.run(1, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(100);
    const refused = await lookup;
    assert.equal([await readText(await first), await readText(await again)], ["ran r1", "ran r1"]);
    assert.is(refused.kind === OutcomeKind.NotRun && refused.reason, RefusalReason.WithdrawnKey);
    assert.is(fleet.runs.length, 1);
});

test("an order with a plain key, sent to three hosts, is claimed in the store and runs once", async () => {
    const fleet = createAccountFleet(3);
    await fleet.start();
    const requests = [0, 1, 2].map(index =>
        fleet.run(index, fleet.createRequest(RouteKind.Order, { idempotencyKey: "plain" }))
    );
    await fleet.clock.run(1_000);
    const texts = await Promise.all(requests.map(async outcome => readText(await outcome)));
    assert.is(fleet.runs.length, 1);
    assert.equal(texts, [0, 1, 2].map(() => `ran ${fleet.runs[0]!.requestId}`));
});

test("a shed lookup is retried in another zone, and refused at once with Retry-After when all zones shed it", async () => {
    const fleet = createAccountFleet(3);
    await fleet.start();
    fleet.hosts[0]!.runner.refuse = () => createNotRun(RefusalReason.Overloaded, "full");
    const served = fleet.run(0, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(100);
    assert.is((await served).kind, OutcomeKind.Done);
    for (const host of fleet.hosts) {
        host.runner.refuse = () => createNotRun(RefusalReason.Overloaded, "full");
    }
    const refused = fleet.run(0, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(100);
    const outcome = await refused;
    assert.is(outcome.kind === OutcomeKind.NotRun && outcome.retryAfterMs !== undefined, true);
});

test("drain ends while requests run, and waitForIdle waits for an order whose caller has disconnected", async () => {
    const fleet = createAccountFleet(3);
    await fleet.start();
    const { host, runner } = fleet.hosts[0]!;
    runner.delayMs = 500;
    const ended: string[] = [];
    const controller = new AbortController();
    void host.run(fleet.createRequest(RouteKind.Order), controller.signal);
    await fleet.clock.run(1);
    controller.abort();
    void host.drain().then(() => ended.push("handed over"));
    void fleet.run(0, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(300);
    void host.waitForIdle().then(() => ended.push("idle"));
    await fleet.clock.run(100);
    assert.equal(ended, ["handed over"]);
    await fleet.clock.run(1_000);
    assert.equal(ended, ["handed over", "idle"]);
});

test.run();

async function readText(outcome: Outcome): Promise<string> {
    if (outcome.kind !== OutcomeKind.Done) {
        return `${outcome.kind} ${outcome.reason}`;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of outcome.body) {
        chunks.push(Buffer.from(chunk));
    }
    return Buffer.concat(chunks).toString();
}
