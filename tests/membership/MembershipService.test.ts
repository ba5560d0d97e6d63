import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FakeFleet } from "../../src/fakes/index.js";
import { FRESHNESS_BOUND_MS } from "../../src/membership/index.js";
import { startFleet } from "../support/startFleet.js";

const TIMEOUT_MS = 60_000;
const OUTAGE_MS = 30_000;
const ACCEPT_TIMEOUT_MS = 5_000;
const SLOW_ANSWER_MS = 2_500;
const STEP_MS = 50;

test("hosts that start together join one view in few writes", async () => {
    const fleet = await startFleet(1, 40);
    const { version } = fleet.get(0).membership.getHead()!;
    assert.ok(version < 40, `${version} changes of the head for 40 joins`);
});

test("an isolated host stops serving within the freshness bound and serves again after the partition", async () => {
    const fleet = await startFleet(2, 5);
    fleet.get(4).store.isCut = true;
    routeBoth(fleet, [4], [0, 1, 2, 3], false);
    await fleet.clock.run(FRESHNESS_BOUND_MS + 1);
    assert.equal(fleet.getCurrent(), [0, 1, 2, 3]);
    fleet.get(4).store.isCut = false;
    assert.ok(await fleet.wait(() => fleet.getCurrent().length === 5, TIMEOUT_MS));
});

for (const isReceived of [true, false]) {
    test(`a one-way partitioned host stops serving; its messages ${isReceived ? "arrive" : "are lost"}`, async () => {
        const fleet = await startFleet(3, 5);
        const others = [0, 1, 2, 3];
        fleet.get(4).store.isCut = true;
        fleet.route(isReceived ? others : [4], isReceived ? [4] : others, false);
        await fleet.clock.run(FRESHNESS_BOUND_MS + 1);
        assert.equal(fleet.getCurrent(), others);
    });
}

test("hosts that a majority confirms keep serving while the store is unavailable", async () => {
    const fleet = await startFleet(4, 9);
    fleet.store.faults.isAway = true;
    for (let time = 0; time < OUTAGE_MS; time += FRESHNESS_BOUND_MS) {
        await fleet.clock.run(FRESHNESS_BOUND_MS);
        assert.is(fleet.getCurrent().length, 9);
    }
});

test("after the loss of a majority the other hosts serve again once the host list has dropped it", async () => {
    const fleet = await startFleet(5, 7);
    fleet.store.faults.isAway = true;
    for (const index of [0, 1, 2, 3]) {
        fleet.stop(index);
    }
    await fleet.clock.run(FRESHNESS_BOUND_MS + 1);
    assert.equal(fleet.getCurrent(), []);
    assert.ok(await fleet.wait(() => fleet.getCurrent().length === 3, TIMEOUT_MS));
    fleet.store.faults.isAway = false;
    assert.ok(await fleet.wait(() => fleet.isSettled(), TIMEOUT_MS));
});

test("a paused host is not current right after it resumes, because its confirmations have expired", async () => {
    const fleet = await startFleet(6, 5);
    fleet.stopProcess(2);
    await fleet.clock.run(FRESHNESS_BOUND_MS + 1_000);
    fleet.startProcess(2);
    assert.not(fleet.get(2).membership.isCurrent());
    assert.ok(await fleet.wait(() => fleet.isSettled(), TIMEOUT_MS));
});

test("a host that restarts on the same address takes over its entry", async () => {
    const fleet = await startFleet(7, 5);
    const before = fleet.get(1).member.incarnation;
    fleet.stop(1);
    await fleet.clock.run(1_000);
    fleet.start(1);
    assert.ok(await fleet.wait(() => fleet.isSettled() && findIncarnation(fleet, 1) !== before, TIMEOUT_MS));
    assert.is(findIncarnation(fleet, 1), fleet.get(1).member.incarnation);
});

test("a host that replaces another while the store is unavailable serves before it is a member", async () => {
    const fleet = await startFleet(8, 5);
    const version = await fleet.write(0);
    assert.ok(await waitForVersion(fleet, version));
    fleet.store.faults.isAway = true;
    fleet.stop(4);
    fleet.start(5);
    assert.ok(await fleet.wait(() => fleet.get(5).membership.isCurrent(), TIMEOUT_MS));
    assert.is(fleet.get(5).membership.getHead()!.version, version);
    assert.is(findIncarnation(fleet, 5), undefined);
    fleet.store.faults.isAway = false;
    assert.ok(await fleet.wait(() => findIncarnation(fleet, 5) !== undefined, TIMEOUT_MS));
});

test("a rolling restart of all hosts while the store is unavailable keeps them serving", async () => {
    const fleet = await startFleet(9, 5);
    fleet.store.faults.isAway = true;
    for (const index of [0, 1, 2, 3, 4]) {
        fleet.stop(index);
        fleet.start(index);
        await fleet.clock.run(4 * FRESHNESS_BOUND_MS);
        assert.is(fleet.getCurrent().length, 5, `after the restart of host ${index}`);
    }
});

test("every host can be replaced, one after another", async () => {
    const fleet = await startFleet(10, 6);
    for (let index = 0; index < 6; index++) {
        const leave = fleet.get(index).membership.leave(TIMEOUT_MS);
        fleet.start(index + 6);
        await fleet.wait(() => findIncarnation(fleet, index) === undefined, TIMEOUT_MS);
        await fleet.clock.run(1_000);
        assert.ok(await leave);
        fleet.stop(index);
        assert.ok(await fleet.wait(() => fleet.isSettled(), TIMEOUT_MS), `after host ${index}`);
    }
    assert.equal(getMemberIds(fleet), [6, 7, 8, 9, 10, 11].map(index => `host-${index}`).sort());
});

test("joins take effect once although the store's answers to their writes are lost", async () => {
    const fleet = await startFleet(11, 3);
    fleet.store.faults.losesWriteAnswers = true;
    fleet.start(3, 4, 5, 6);
    assert.ok(await fleet.wait(() => fleet.isSettled(), TIMEOUT_MS));
    assert.is(new Set(getMemberIds(fleet)).size, 7);
});

test("a change that reaches only a minority is not accepted", async () => {
    const fleet = await startFleet(12, 5);
    routeBoth(fleet, [0, 1], [2, 3, 4], false);
    for (const index of [2, 3, 4]) {
        fleet.get(index).store.isCut = true;
    }
    const version = await fleet.write(0);
    const accepted = fleet.get(0).membership.waitForMajority(version, ACCEPT_TIMEOUT_MS);
    await fleet.clock.run(ACCEPT_TIMEOUT_MS + 1_000);
    assert.not(await accepted);
});

test("a proposed view stays inactive until a majority of the active view has installed it", async () => {
    const fleet = await startFleet(13, 3);
    const others = [2, 3, 4, 5, 6];
    routeBoth(fleet, [0, 1], others, false);
    fleet.get(0).store.isCut = true;
    fleet.get(1).store.isCut = true;
    fleet.start(3, 4, 5, 6);
    await fleet.clock.run(OUTAGE_MS);
    const { view, nextView } = fleet.get(2).membership.getHead()!;
    assert.equal([view.members.length, (nextView?.members.length ?? 0) > 3], [3, true]);
    const version = await fleet.write(2);
    const accepted = fleet.get(2).membership.waitForMajority(version, ACCEPT_TIMEOUT_MS);
    await fleet.clock.run(ACCEPT_TIMEOUT_MS + 1_000);
    assert.not(await accepted);
    routeBoth(fleet, [0, 1], others, true);
    assert.ok(await fleet.wait(() => fleet.isSettled(), TIMEOUT_MS));
});

test("a host that can't install an accepted head stops serving within the freshness bound", async () => {
    const fleet = await startFleet(14, 5);
    fleet.get(4).installer.isFailing = true;
    await writeAccepted(fleet, 0);
    await fleet.clock.run(FRESHNESS_BOUND_MS + 1);
    assert.equal(fleet.getCurrent(), [0, 1, 2, 3]);
});

for (const offsetMs of [0, 500, 1_000, 1_500, 2_000, 2_500]) {
    test(`a slow answer of the store confirms the head only as of its request, change at ${offsetMs} ms`, async () => {
        const fleet = await startFleet(15, 5);
        fleet.get(4).store.answerDelayMs = SLOW_ANSWER_MS;
        await fleet.clock.run(2 * FRESHNESS_BOUND_MS);
        routeBoth(fleet, [0, 1, 2, 3], [4], false);
        await fleet.clock.run(FRESHNESS_BOUND_MS + offsetMs);
        await checkIsNotStale(fleet, 4);
    });
}

test("a slow answer of a peer confirms the head only as of its request", async () => {
    const fleet = await startFleet(20, 5);
    fleet.get(4).store.isCut = true;
    fleet.get(4).transport.answerDelayMs = SLOW_ANSWER_MS;
    await fleet.clock.run(2 * FRESHNESS_BOUND_MS);
    await checkIsNotStale(fleet, 4);
});

test("a restarted host does not confirm a head older than the one that its predecessor had installed", async () => {
    const fleet = await startFleet(16, 5);
    await closeRoutes(fleet, [0, 1, 2], [3, 4]);
    await writeAccepted(fleet, 0);
    fleet.stop(2);
    fleet.start(2);
    fleet.get(2).store.isCut = true;
    fleet.route([2, 3, 4], [2, 3, 4], true);
    routeBoth(fleet, [0, 1], [2], false);
    await fleet.clock.run(OUTAGE_MS);
    assert.is(fleet.get(2).membership.getHead()!.version, fleet.get(3).membership.getHead()!.version);
    assert.equal(fleet.getCurrent().filter(index => index >= 2), []);
});

test("a minority does not serve again after the host list has dropped other members", async () => {
    const fleet = await startFleet(17, 5);
    await closeRoutes(fleet, [0, 1, 2], [3, 4]);
    await writeAccepted(fleet, 0);
    fleet.stop(0);
    fleet.stop(1);
    await fleet.clock.run(OUTAGE_MS);
    assert.equal(fleet.getCurrent().filter(index => index >= 3), []);
});

test("hosts that have a view only as proposed also need confirmations by its majority", async () => {
    const fleet = await startFleet(19, 3);
    fleet.start(3, 4, 5, 6);
    const outdated = [0, 1];
    const others = [2, 3, 4, 5, 6];
    assert.ok(await fleet.wait(() => outdated.every(index => hasProposedView(fleet, index)), TIMEOUT_MS, 1));
    for (const index of outdated) {
        fleet.get(index).installer.isFailing = true;
    }
    assert.ok(await fleet.wait(() => fleet.get(2).membership.getView().members.length === 7, TIMEOUT_MS));
    await closeRoutes(fleet, others, outdated);
    const end = await writeAccepted(fleet, others[0]!) + FRESHNESS_BOUND_MS;
    await fleet.clock.run(end + 1 - fleet.clock.getTime());
    assert.equal(fleet.getCurrent().filter(index => outdated.includes(index)), []);
});

test.run();

function routeBoth(fleet: FakeFleet, some: number[], others: number[], isOpen: boolean): void {
    fleet.route(some, others, isOpen);
    fleet.route(others, some, isOpen);
}

function findIncarnation(fleet: FakeFleet, index: number): string | undefined {
    const { members } = fleet.getAll()[0]!.membership.getView();
    return members.find(member => member.id === `host-${index}`)?.incarnation;
}

function getMemberIds(fleet: FakeFleet): string[] {
    return fleet.getAll()[0]!.membership.getView().members.map(member => member.id);
}

async function waitForVersion(fleet: FakeFleet, version: number): Promise<boolean> {
    return await fleet.wait(
        () => fleet.getAll().every(host => host.membership.getHead()?.version === version),
        TIMEOUT_MS,
    );
}

function hasProposedView(fleet: FakeFleet, index: number): boolean {
    return fleet.get(index).membership.getHead()!.nextView?.members.length === 7;
}

/** Writes a change and checks that a host is not current with an older head after the freshness bound. */
async function checkIsNotStale(fleet: FakeFleet, index: number): Promise<void> {
    const version = await writeAccepted(fleet, 0).then(() => fleet.get(0).membership.getHead()!.version);
    await fleet.clock.run(FRESHNESS_BOUND_MS);
    for (let time = 0; time < FRESHNESS_BOUND_MS; time += STEP_MS) {
        await fleet.clock.run(STEP_MS);
        const { membership } = fleet.get(index);
        assert.not(membership.isCurrent() && membership.getHead()!.version < version);
    }
}

/** Blocks the messages between two groups, and the second group's access to the store. */
async function closeRoutes(fleet: FakeFleet, some: number[], others: number[]): Promise<void> {
    routeBoth(fleet, some, others, false);
    for (const index of others) {
        fleet.get(index).store.isCut = true;
    }
    await fleet.clock.run(1);
}

/** Writes a change and waits until it is accepted; returns the time of acceptance. */
async function writeAccepted(fleet: FakeFleet, index: number): Promise<number> {
    const { membership } = fleet.get(index);
    const version = await fleet.write(index);
    let acceptedAt: number | undefined;
    void membership.waitForMajority(version, TIMEOUT_MS).then(() => acceptedAt = fleet.clock.getTime());
    assert.ok(await fleet.wait(() => acceptedAt !== undefined, TIMEOUT_MS));
    return acceptedAt!;
}
