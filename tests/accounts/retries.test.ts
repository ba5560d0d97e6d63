import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RouteKind } from "../../src/configuration/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../../src/outcomes/index.js";
import { createAccountFleet } from "../support/createAccountFleet.js";

type Fleet = ReturnType<typeof createAccountFleet>;

test("a lookup's failed answer is retried, an order's is passed on", async () => {
    const fleet = await startFleet();
    for (const { runner } of fleet.hosts) {
        runner.answer = request => request.excludedUpstreams.length === 0 ? { outcome: createFailure() } : {};
    }
    assert.is(getStatus(await run(fleet, RouteKind.Lookup)), 200);
    assert.is(fleet.runs.length, 2);
    assert.is(getStatus(await run(fleet, RouteKind.Order)), 500);
    assert.is(fleet.runs.length, 3);
});

test("retries stay within the service's budget", async () => {
    const fleet = await startFleet();
    fleet.account = { name: "shop", rate: 1_000, burst: 1_000 };
    fleet.hosts.forEach(({ runner }) => runner.answer = () => ({ outcome: createFailure() }));
    for (let request = 0; request < 200; request++) {
        await run(fleet, RouteKind.Lookup, 20);
    }
    assert.ok(fleet.runs.length <= 200 + 200 * 0.2 + 10, `${fleet.runs.length} runs`);
});

test("a lookup that may have run is not said to be not run when its retry is shed", async () => {
    const fleet = await startFleet();
    for (const { runner } of fleet.hosts) {
        runner.refuse = request =>
            request.excludedUpstreams.length > 0 ? createNotRun(RefusalReason.Overloaded, "full") : undefined;
        runner.answer = () => ({ outcome: createUnknown(UnknownReason.ConnectionLost, "lost") });
    }
    assert.is((await run(fleet, RouteKind.Lookup)).kind, OutcomeKind.Unknown);
});

test("an order shed in one zone runs in another; one that was lost does not run again", async () => {
    const fleet = await startFleet();
    fleet.hosts[0]!.runner.refuse = () => createNotRun(RefusalReason.Overloaded, "full");
    assert.is(getStatus(await run(fleet, RouteKind.Order)), 200);
    fleet.hosts[0]!.runner.refuse = () => undefined;
    fleet.hosts[0]!.runner.answer = () => ({ outcome: createUnknown(UnknownReason.ConnectionLost, "lost") });
    const runs = fleet.runs.length;
    assert.is((await run(fleet, RouteKind.Order)).kind, OutcomeKind.Unknown);
    assert.is(fleet.runs.length, runs + 1);
});

test("a silent service host costs a lookup no more than half its time, and the next one none", async () => {
    const fleet = createAccountFleet(6);
    await fleet.start();
    const first = fleet.hosts[0]!.membership.getServiceHosts("looms", "a")[0]!;
    const index = fleet.hosts.findIndex(({ member }) => member.zone === "a" && member.id !== first.id);
    fleet.network.stopAnswers(first.peerAddress);
    const lookup = fleet.run(index, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(1_100);
    assert.is(getStatus(await lookup), 200);
    const next = fleet.run(index, fleet.createRequest(RouteKind.Lookup));
    await fleet.clock.run(50);
    assert.is(getStatus(await next), 200);
});

test("a request that crashes upstreams is refused for good at the second crash, at every account host", async () => {
    const fleet = await startFleet();
    for (const { runner } of fleet.hosts) {
        runner.answer = request =>
            request.path === "/poison"
                ? { outcome: createUnknown(UnknownReason.ConnectionLost, "crash"), isCrashSuspected: true }
                : {};
    }
    const outcomes: Outcome[] = [];
    for (const index of [0, 1, 2, 0]) {
        const outcome = fleet.run(index, fleet.createRequest(RouteKind.Lookup, { path: "/poison" }));
        await fleet.clock.run(500);
        outcomes.push(await outcome);
    }
    assert.is(fleet.runs.length, 2);
    const last = outcomes.at(-1)!;
    assert.is(last.kind === OutcomeKind.NotRun && last.reason, RefusalReason.RequestQuarantined);
    assert.is(last.kind === OutcomeKind.NotRun && last.retryAfterMs, undefined);
    assert.is(getStatus(await run(fleet, RouteKind.Lookup)), 200);
});

test("a request that is answered elsewhere is not what crashes upstreams", async () => {
    const fleet = await startFleet();
    await run(fleet, RouteKind.Lookup);
    const lost = createUnknown(UnknownReason.ConnectionLost, "rack lost");
    fleet.hosts.forEach(({ runner }) => runner.answer = () => ({ outcome: lost, isCrashSuspected: true }));
    await run(fleet, RouteKind.Lookup);
    await run(fleet, RouteKind.Lookup);
    fleet.hosts.forEach(({ runner }) => runner.answer = () => ({}));
    assert.is(getStatus(await run(fleet, RouteKind.Lookup)), 200);
});

test.run();

async function startFleet(): Promise<Fleet> {
    const fleet = createAccountFleet(3);
    await fleet.start();
    return fleet;
}

async function run(fleet: Fleet, kind: RouteKind, waitMs = 2_500): Promise<Outcome> {
    const outcome = fleet.run(0, fleet.createRequest(kind));
    await fleet.clock.run(waitMs);
    return await outcome;
}

function createFailure(): Outcome {
    return { kind: OutcomeKind.Done, status: 500, headers: {}, body: Readable.from([]) };
}

function getStatus(outcome: Outcome): number {
    return outcome.kind === OutcomeKind.Done ? outcome.status : 0;
}
