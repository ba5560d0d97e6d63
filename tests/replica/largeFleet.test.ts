import { suite } from "uvu";
import * as assert from "uvu/assert";
import { SeededRandom } from "../../src/random/index.js";
import { createReplicaFleet } from "../support/createReplicaFleet.js";

/** A link of 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875;
const UPSTREAMS = 200;
const CONFIGURATION_BYTES = 30_000;
/** Time in which a change has to be in force on all hosts, in milliseconds, by the number of hosts. */
const BOUNDS_MS = new Map([[36, 2_000], [94, 2_500]]);
const FAULT_FREE_MS = 20_000;
const SAMPLE_MS = 100;
const WATCHERS = 3;
/** Time in which hosts that fall silent together are detected and reported, in milliseconds. */
const SILENCE_MS = 4_000;
/** Largest share of a link that pulls and reports may use. */
const MAX_CONTROL_SHARE = 0.25;

type Fleet = ReturnType<typeof createReplicaFleet>;

const test = suite("replicas of a large fleet");

for (const [hosts, boundMs] of BOUNDS_MS) {
    test(`a configuration reaches ${hosts} hosts on narrow links while upstreams renew their entries`, async () => {
        const fleet = await startFleet(hosts);
        writeConfiguration(fleet);
        await fleet.clock.run(boundMs);
        checkConfigured(fleet);
    });

    test(`no replica of ${hosts} hosts grows older than the bound without faults`, async () => {
        const fleet = await startFleet(hosts);
        let oldestMs = 0;
        for (let elapsedMs = 0; elapsedMs < FAULT_FREE_MS; elapsedMs += SAMPLE_MS) {
            await fleet.clock.run(SAMPLE_MS);
            oldestMs = Math.max(oldestMs, ...fleet.getAges().values());
        }
        assert.ok(oldestMs <= boundMs, `a replica was ${Math.round(oldestMs)} ms old`);
    });

    for (const seed of [1, 2, 3]) {
        test(`a change reaches ${hosts} hosts while the store refuses a third of them, seed ${seed}`, async () => {
            const fleet = await startFleet(hosts);
            const refused = selectHosts(fleet, 1 / 3, seed);
            [...fleet.getWatchRanking().slice(0, WATCHERS), ...refused].forEach(id => fleet.store.refused.add(id));
            writeConfiguration(fleet);
            await fleet.clock.run(boundMs);
            checkConfigured(fleet);
        });

        test(`a change reaches the rest of ${hosts} hosts if more than half crash at the same time, seed ${seed}`, async () => {
            const fleet = await startFleet(hosts);
            selectHosts(fleet, 0.55, seed).forEach(id => fleet.removeHost(id));
            writeConfiguration(fleet);
            await fleet.clock.run(boundMs);
            checkConfigured(fleet);
        });

        test(`a change reaches ${hosts} hosts while three in ten are cut off from the others, seed ${seed}`, async () => {
            const fleet = await startFleet(hosts);
            selectHosts(fleet, 0.3, seed).forEach(id => fleet.closeHost(id));
            writeConfiguration(fleet);
            await fleet.clock.run(boundMs);
            checkConfigured(fleet);
        });

        test(`a change reaches ${hosts} hosts while half are silent and the store refuses a third, seed ${seed}`, async () => {
            const fleet = await startFleet(hosts);
            const silent = selectHosts(fleet, 0.55, seed);
            const refused = selectHosts(fleet, 1 / 3, seed + 100);
            silent.forEach(id => fleet.closeHost(id));
            [...silent, ...refused].forEach(id => fleet.store.refused.add(id));
            writeConfiguration(fleet);
            await fleet.clock.run(boundMs);
            checkConfigured(fleet, new Set(silent));
        });
    }
}

test("the traffic of a host does not grow with the fleet", async () => {
    const small = await measureSent(36);
    for (const hosts of [94, 200]) {
        const large = await measureSent(hosts);
        assert.ok(
            large.messages <= 1.5 * small.messages,
            `${hosts} hosts: ${large.messages} to ${small.messages} messages`,
        );
        assert.ok(large.bytes <= 1.5 * small.bytes, `${hosts} hosts: ${large.bytes} to ${small.bytes} bytes`);
    }
});

test("reports of hosts that fall silent together use a small share of a link", async () => {
    const fleet = await startFleet(94);
    const before = fleet.getSent();
    selectHosts(fleet, 0.45, 1).forEach(id => fleet.closeHost(id));
    await fleet.clock.run(SILENCE_MS);
    const sent = [...fleet.getSent()].map(([id, { bytes }]) => bytes - before.get(id)!.bytes);
    const share = Math.max(...sent) / (SILENCE_MS * LINK_BYTES_PER_MS);
    assert.ok(share < MAX_CONTROL_SHARE, `a host used ${Math.round(100 * share)} % of its link`);
});

test("network delay does not make an old replica look current", async () => {
    const fleet = await startFleet(36);
    fleet.network.delayMs = 400;
    await fleet.clock.run(3_000);
    const start = fleet.clock.getTime();
    fleet.store.isAway = true;
    for (let sample = 0; sample < 40; sample++) {
        await fleet.clock.run(SAMPLE_MS);
        const elapsedMs = fleet.clock.getTime() - start;
        const youngestMs = Math.min(...fleet.getAges().values());
        assert.ok(
            youngestMs >= elapsedMs,
            `a replica looked ${youngestMs} ms old ${elapsedMs} ms after the last answer`,
        );
    }
});

test.run();

async function startFleet(hosts: number): Promise<Fleet> {
    const fleet = createReplicaFleet(hosts, { linkBytesPerMs: LINK_BYTES_PER_MS, upstreams: UPSTREAMS });
    await fleet.start();
    return fleet;
}

function writeConfiguration(fleet: Fleet): void {
    fleet.store.write("configuration", "x".repeat(CONFIGURATION_BYTES));
}

function checkConfigured(fleet: Fleet, excluded: ReadonlySet<string> = new Set()): void {
    const late = fleet.getHostsWithout("configuration", "x".repeat(CONFIGURATION_BYTES)).filter(id =>
        !excluded.has(id)
    );
    assert.equal(late, [], `${late.length} hosts have no configuration: ${late.join(" ")}`);
}

function selectHosts(fleet: Fleet, share: number, seed: number): readonly string[] {
    const random = new SeededRandom(seed);
    return fleet.getWatchRanking().map(id => ({ id, draw: random.getNext() })).filter(({ draw }) => draw < share)
        .map(({ id }) => id);
}

/** Measures the most messages and bytes that one host sends in ten seconds after a change of the configuration. */
async function measureSent(hosts: number): Promise<{ readonly messages: number; readonly bytes: number; }> {
    const fleet = await startFleet(hosts);
    const before = fleet.getSent();
    writeConfiguration(fleet);
    await fleet.clock.run(10_000);
    const sent = [...fleet.getSent()].map(([id, { messages, bytes }]) => ({
        messages: messages - before.get(id)!.messages,
        bytes: bytes - before.get(id)!.bytes,
    }));
    return { messages: Math.max(...sent.map(host => host.messages)), bytes: Math.max(...sent.map(host => host.bytes)) };
}
