import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRateFleet } from "../support/createRateFleet.js";

const HOST_COUNT = 5;
const FRESHNESS_MS = 3_000;
const SETTLED_MS = 30_000;

const TICK_MS = 40;

type RateFleet = ReturnType<typeof createRateFleet>;

const host = fc.nat(HOST_COUNT - 1);
const KINDS = ["flood", "flood", "quiet", "cut", "heal", "view", "view", "drain", "restore", "restore"] as const;
const step = fc.record({ kind: fc.constantFrom(...KINDS), host, other: host, value: fc.nat(4_000) });
const limits = fc.record({
    name: fc.constantFrom("shop", "studio", "gallery"),
    rate: fc.integer({ min: 1, max: 30 }),
    burst: fc.integer({ min: 1, max: 12 }),
});

test("the fleet admits at most burst + rate x time in any window, whatever faults occur", async () => {
    const delays = fc.constantFrom(1, 20, 45);
    const steps = fc.array(step, { minLength: 6, maxLength: 24 });
    const property = fc.asyncProperty(limits, delays, steps, async (account, delayMs, list) => {
        const fleet = createRateFleet(HOST_COUNT, account);
        fleet.network.delayMs = delayMs;
        await fleet.clock.run(SETTLED_MS);
        for (const { kind, host: index, other, value } of list) {
            await runStep(fleet, kind, index, other, value);
        }
        await runFlood(fleet, TICK_MS * 4);
        assert.is(fleet.findExcess(), undefined);
    });
    await fc.assert(property, { numRuns: 40, seed: 7 });
});

test("an account that sends to one host only gets its whole rate and burst there", async () => {
    const fleet = createRateFleet(3, { name: "shop", rate: 50, burst: 20 });
    await fleet.clock.run(SETTLED_MS);
    fleet.admit(0, 20);
    await fleet.clock.run(1_000);
    for (let request = 0; request < 500; request++) {
        fleet.admit(0, 1);
        await fleet.clock.run(20);
    }
    assert.is(fleet.refused, 0);
});

test("a planned stop of an account host refuses no request within the rate", async () => {
    const fleet = createRateFleet(4, { name: "shop", rate: 100, burst: 30 });
    await fleet.clock.run(SETTLED_MS);
    const accountHosts = fleet.hosts[0]!.membership.getAccountHosts("shop").map(({ id }) => id);
    const [stopped, other, last] = accountHosts.map(id => fleet.hosts.findIndex(({ member }) => member.id === id));
    const view = fleet.createView(2, [0, 1, 2, 3].filter(index => index !== stopped));
    const start = fleet.clock.getTime();
    fleet.clock.schedule(3_000, () => void fleet.hosts[stopped!]!.limiter.drain());
    fleet.clock.schedule(5_000, () => fleet.hosts.forEach(({ membership }) => membership.applyView(view)));
    for (let index = 0; fleet.clock.getTime() < start + 15_000; index++) {
        fleet.admit(index % 2 === 0 ? other! : last!, 1);
        await fleet.clock.run(10.5);
    }
    assert.is(fleet.refused, 0);
    assert.is(fleet.findExcess(), undefined);
});

test("a burst smaller than the number of hosts can be spent at any of them", async () => {
    const fleet = createRateFleet(3, { name: "shop", rate: 1, burst: 1 });
    await fleet.clock.run(SETTLED_MS);
    for (const index of [0, 1, 2, 1, 0]) {
        fleet.admit(index, 1);
        await fleet.clock.run(1_100);
    }
    assert.is(fleet.admissions.length, 5);
    assert.is(fleet.refused, 0);
});

test("changes of an account's burst add no tokens", async () => {
    const fleet = createRateFleet(3, { name: "shop", rate: 10, burst: 30 });
    await fleet.clock.run(SETTLED_MS);
    fleet.admit(0, 30);
    await fleet.clock.run(10);
    const { account } = fleet;
    for (const burst of [3, 30, 1, 30]) {
        fleet.account = { ...account, burst };
        fleet.admit(1, 1);
        fleet.admit(2, 1);
        await fleet.clock.run(50);
    }
    fleet.account = account;
    fleet.admit(0, 40);
    await fleet.clock.run(500);
    assert.is(fleet.findExcess(), undefined);
});

test("a bucket that was dropped while its burst was small adds no tokens when the burst grows again", async () => {
    const fleet = createRateFleet(3, { name: "shop", rate: 10, burst: 30 });
    await fleet.clock.run(SETTLED_MS);
    const { account } = fleet;
    fleet.admit(0, 30);
    await fleet.clock.run(10);
    fleet.account = { ...account, burst: 3 };
    fleet.hosts.forEach((_, index) => fleet.admit(index, 1));
    for (const name of ["other-1", "other-2", "other-3", "other-4"]) {
        fleet.hosts.forEach(({ limiter }) => void limiter.admit({ name, rate: 1, burst: 3 }));
        await fleet.clock.run(150);
    }
    fleet.account = account;
    fleet.admit(0, 40);
    await fleet.clock.run(500);
    assert.is(fleet.findExcess(), undefined);
});

test("a host that is not current admits nothing", async () => {
    const fleet = createRateFleet(3, { name: "shop", rate: 10, burst: 30 });
    await fleet.clock.run(SETTLED_MS);
    fleet.hosts[0]!.membership.isHostCurrent = false;
    fleet.admit(0, 3);
    await fleet.clock.run(500);
    assert.is(fleet.admissions.length, 0);
});

test.run();

async function runStep(
    fleet: RateFleet,
    kind: typeof KINDS[number],
    index: number,
    other: number,
    value: number,
): Promise<void> {
    const address = fleet.hosts[index]!.member.peerAddress;
    const otherAddress = fleet.hosts[other]!.member.peerAddress;
    switch (kind) {
        case "flood":
            return await runFlood(fleet, value / 4);
        case "quiet":
            return await fleet.clock.run(value * 2);
        case "cut":
            return fleet.network.closeDirection(address, otherAddress);
        case "heal":
            return fleet.network.openDirection(address, otherAddress);
        case "view":
            return await applyView(fleet, index, other, value);
        case "drain":
            void fleet.hosts[index]!.limiter.drain();
            return await runFlood(fleet, TICK_MS * 4);
        case "restore":
            return restoreNewest(fleet, value % 8);
    }
}

/** Sends more requests to all hosts than any account's rate allows. */
async function runFlood(fleet: RateFleet, durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
        fleet.hosts.forEach((_, index) => fleet.admit(index, 4));
        await fleet.clock.run(TICK_MS);
    }
}

/** Applies a view without one host; that host and another one get it late and stop admitting at the freshness bound. */
async function applyView(fleet: RateFleet, without: number, late: number, lagMs: number): Promise<void> {
    const version = fleet.hosts[0]!.membership.getView().version + 1;
    const view = fleet.createView(version, fleet.hosts.map((_, index) => index).filter(index => index !== without));
    const lagging = new Set([fleet.hosts[without]!, fleet.hosts[late]!]);
    for (const { membership } of fleet.hosts.filter(other => !lagging.has(other))) {
        membership.applyView(view);
    }
    await runFlood(fleet, Math.min(lagMs, FRESHNESS_MS));
    lagging.forEach(({ membership }) => membership.isHostCurrent = lagMs <= FRESHNESS_MS);
    await runFlood(fleet, Math.max(0, lagMs - FRESHNESS_MS));
    for (const { membership } of lagging) {
        membership.isHostCurrent = true;
        membership.applyView(view);
    }
}

function restoreNewest(fleet: RateFleet, count: number): void {
    for (const admission of count > 0 ? fleet.admissions.slice(-count) : []) {
        if (!admission.isRestored) {
            admission.isRestored = true;
            admission.host.limiter.restore(fleet.account, admission.grant);
        }
    }
}
