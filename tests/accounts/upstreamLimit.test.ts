import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Member } from "../../src/head/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { runClockUntil } from "../support/runClockUntil.js";

const HOSTS = 9;
const SELF = 4;
const SERVICE_TIME_MS = 200;
const MAX_ATTEMPTS = 2;

const test = suite("upstream limit");
let bench: DispatchBench;

test.before.each(() => {
    bench = new DispatchBench({ hosts: HOSTS, serviceTimeMs: SERVICE_TIME_MS });
});

test("a lookup whose service host is lost while it runs reaches no more upstreams than its route allows", async () => {
    await runClockUntil(bench.clock, bench.run(SELF, MAX_ATTEMPTS));
    await runClockUntil(bench.clock, bench.run(SELF, MAX_ATTEMPTS));
    bench.upstreams.records.splice(0);
    bench.applyFailures();
    const outcome = bench.run(SELF, MAX_ATTEMPTS);
    await bench.clock.run(SERVICE_TIME_MS / 4);
    getServiceHosts().forEach(({ peerAddress }) => bench.network.removeHost(peerAddress));
    addUnreachableHosts();
    await runClockUntil(bench.clock, outcome);
    assert.ok(findUsedUpstreams().length <= MAX_ATTEMPTS, findUsedUpstreams().join(", "));
});

test("a lookup that may go to no further upstream is not given up while its service host runs it", async () => {
    bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, { slowFactor: 6 }));
    const outcome = bench.run(SELF, 1);
    await bench.clock.run(SERVICE_TIME_MS / 4);
    addUnreachableHosts();
    assert.is((await runClockUntil(bench.clock, outcome))!.kind, OutcomeKind.Done);
});

test.run();

function getServiceHosts(): readonly Member[] {
    const { membership } = bench.hosts[SELF]!;
    const self = membership.getSelf();
    return membership.getServiceHosts(bench.service.name, self.zone).filter(({ id }) => id !== self.id);
}

/** Makes the service hosts of the sender's zone look away to it. */
function addUnreachableHosts(): void {
    getServiceHosts().forEach(({ id }) => bench.hosts[SELF]!.membership.unreachable.add(id));
}

function findUsedUpstreams(): string[] {
    return [...new Set(bench.upstreams.records.filter(({ isRun }) => isRun).map(({ upstream }) => upstream))];
}
