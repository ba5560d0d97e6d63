import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getServiceParts, RouteKind } from "../../src/configuration/index.js";
import type { Member } from "../../src/head/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../../src/outcomes/index.js";
import { createAccountFleet } from "../support/createAccountFleet.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { runClockUntil } from "../support/runClockUntil.js";

const HOSTS = 9;
const SERVICE_TIME_MS = 1_600;
const MAX_ATTEMPTS = 2;
/** With so many lookups that are each tried at so many upstreams, a host's retry budget is spent. */
const BUDGET_LOOKUPS = 6;
const MAX_UPSTREAMS = 4;
/** When the service host of a running lookup stops answering for a while, in milliseconds after the lookup was sent. */
const SILENCE_START_MS = 300;
const SILENCE_END_MS = 700;
const SLOW_FACTOR = 4;
/** The slowest answer of an upstream that is not slow, after the time in which a host is found late, in milliseconds. */
const FIRST_ANSWER_MS = 1_000 + 1.5 * SERVICE_TIME_MS;
const ANSWER_LIMIT_MS = 4_000;

type Fleet = ReturnType<typeof createAccountFleet>;

interface LateHostBench {
    readonly bench: DispatchBench;
    /** Number of the host that sends the lookup. */
    readonly sender: number;
    /** The service host that it is sent to first. */
    readonly serviceHost: Member;
    /** The zone of that service host. */
    readonly zone: string;
}

const test = suite("late service hosts");

test("a lookup at a service host that is late to say whether it serves is answered when the retry budget is spent", async () => {
    const late = createLateHostBench();
    await spendRetryBudget(late);
    const outcome = await runWithSilence(late);
    assert.is(outcome.kind, OutcomeKind.Done);
    assert.is(getNewRecords(late), 1);
});

for (
    const [name, faults] of [
        ["refuse it", { isShedding: true }],
        ["fail", { errorRate: 1 }],
        ["lose its connection", { lossRate: 1 }],
    ] as const
) {
    test(`a lookup at a late service host is answered by it when all other upstreams ${name}`, async () => {
        const late = createLateHostBench();
        late.bench.service.upstreams.filter(({ zone }) => zone !== late.zone)
            .forEach(upstream => late.bench.upstreams.applyFaults(upstream.name, faults));
        const outcome = await runWithSilence(late);
        assert.is(outcome.kind === OutcomeKind.Done && outcome.status, 200);
        assert.ok(
            late.bench.upstreams.records.length <= MAX_ATTEMPTS,
            "it reached more upstreams than its route allows",
        );
    });
}

test("a lookup's running attempt is awaited when its host takes itself for isolated and has no retry left", async () => {
    const late = createLateHostBench();
    await spendRetryBudget(late);
    const { bench, sender } = late;
    bench.clock.schedule(
        SILENCE_START_MS,
        () => Object.assign(bench.hosts[sender]!.membership, { isIsolated: () => true }),
    );
    const outcome = await runWithSilence(late);
    assert.is(outcome.kind, OutcomeKind.Done);
});

for (const [name, isFirstSlow] of [["first", false], ["second", true]] as const) {
    test(`of two attempts at a late and at another service host, the answer of the ${name} is used as it comes first, and the other ends`, async () => {
        const late = createLateHostBench();
        const { bench, zone } = late;
        bench.service.upstreams.filter(upstream => (upstream.zone === zone) === isFirstSlow)
            .forEach(upstream => bench.upstreams.applyFaults(upstream.name, { slowFactor: SLOW_FACTOR }));
        const outcome = await runWithSilence(late);
        assert.is(outcome.kind, OutcomeKind.Done);
        assert.ok(bench.clock.getTime() <= FIRST_ANSWER_MS, `${bench.clock.getTime()} ms`);
        await bench.clock.run(10);
        assert.is(
            bench.service.upstreams.reduce((sum, upstream) => sum + bench.upstreams.getRunning(upstream.name), 0),
            0,
        );
        assert.is(getNewRecords(late), MAX_ATTEMPTS);
    });
}

test("the last attempt of a lookup is awaited for longer than half of its time", async () => {
    const { fleet, sender } = await startAccountFleet();
    fleet.hosts.forEach(({ runner }) => runner.delayMs = 1_900);
    const lookup = fleet.run(sender, fleet.createRequest(RouteKind.Lookup));
    const start = fleet.clock.getTime();
    const outcome = await runClockUntil(fleet.clock, lookup, ANSWER_LIMIT_MS);
    assert.is(outcome?.kind, OutcomeKind.Done);
    assert.ok(fleet.clock.getTime() - start <= 2_000, `${fleet.clock.getTime() - start} ms`);
});

test("a lookup that a late service host refuses in the end is sent to another, though no retry was left to send it there at once", async () => {
    const { fleet, sender, first } = await startAccountFleet();
    fleet.hosts.forEach(({ runner }) =>
        runner.answer = () => ({ outcome: createUnknown(UnknownReason.ConnectionLost, "lost") })
    );
    for (let lookup = 0; lookup < 2 * BUDGET_LOOKUPS; lookup++) {
        await runClockUntil(fleet.clock, fleet.run(sender, fleet.createRequest(RouteKind.Lookup)));
    }
    fleet.hosts.forEach(({ runner }) => runner.answer = () => ({}));
    const { runner } = fleet.hosts.find(({ member }) => member.id === first.id)!;
    runner.delayMs = 1_200;
    runner.answer = () => ({ outcome: createNotRun(RefusalReason.Overloaded, "full"), upstream: undefined });
    const outcome = await runClockUntil(fleet.clock, fleet.run(sender, fleet.createRequest(RouteKind.Lookup)));
    assert.is(outcome?.kind, OutcomeKind.Done);
});

test.run();

/** Starts hosts of which one sends its lookups to another one of its zone first. */
async function startAccountFleet(): Promise<{ fleet: Fleet; sender: number; first: Member; }> {
    const fleet = createAccountFleet(6);
    await fleet.start();
    const first = fleet.hosts[0]!.membership.getServiceHosts("looms", "a")[0]!;
    const sender = fleet.hosts.findIndex(({ member }) => member.zone === "a" && member.id !== first.id);
    return { fleet, sender, first };
}

function createLateHostBench(): LateHostBench {
    const bench = new DispatchBench({ hosts: HOSTS, serviceTimeMs: SERVICE_TIME_MS, service: { retryBudget: 0 } });
    const zone = "zone-a";
    const { key } = getServiceParts(bench.service).find(part => part.zone === zone)!;
    const serviceHost = bench.hosts[0]!.membership.getServiceHosts(bench.service.name, zone, key)[0]!;
    const sender = bench.hosts.findIndex(({ membership }) => {
        const self = membership.getSelf();
        return self.zone === zone && self.id !== serviceHost.id;
    });
    return { bench, sender, serviceHost, zone };
}

/** Sends a lookup whose service host is silent for a while, and waits for its outcome. */
async function runWithSilence({ bench, sender, serviceHost }: LateHostBench): Promise<Outcome> {
    const { clock, network } = bench;
    bench.upstreams.records.length = 0;
    clock.schedule(SILENCE_START_MS, () => network.stopAnswers(serviceHost.peerAddress));
    clock.schedule(SILENCE_END_MS, () => network.startAnswers(serviceHost.peerAddress));
    const outcome = await runClockUntil(clock, bench.run(sender, MAX_ATTEMPTS), ANSWER_LIMIT_MS);
    assert.is.not(outcome, undefined, "no outcome by the deadline");
    return outcome!;
}

/** Has all upstreams refuse lookups until the sender has no retry left. */
async function spendRetryBudget({ bench, sender }: LateHostBench): Promise<void> {
    const applyToAll = (isShedding: boolean): void =>
        bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, { isShedding }));
    applyToAll(true);
    for (let lookup = 0; lookup < BUDGET_LOOKUPS; lookup++) {
        await runClockUntil(bench.clock, bench.run(sender, MAX_UPSTREAMS));
    }
    applyToAll(false);
}

function getNewRecords({ bench }: LateHostBench): number {
    return bench.upstreams.records.filter(({ isRun }) => isRun).length;
}
