import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FakeFleet } from "../fakes/index.js";

/*
 * Measures the membership on its real code over an in-memory network and prints a table.
 * Usage: node --expose-gc dist/src/tools/capacity-membership.js [--sizes 40 200 900] [--pull-interval 250]
 */
const WARM_UP_MS = 8_000;
const OUTAGE_MS = 6_000;
const SAMPLED_MS = 10_000;
const SAMPLE_STEP_MS = 100;
const SPREAD_STEP_MS = 10;
const SPREAD_TIMEOUT_MS = 30_000;
const LOSS_SHARES = [0, 0.05];
const DEAD_SHARES = [0, 1 / 3];
const DECIMALS = 2;
const KILOBYTE = 1_024;
const MS_PER_SECOND = 1_000;

interface CapacityResult {
    readonly members: number;
    readonly loss: number;
    readonly dead: number;
    readonly "worst age ms": number;
    readonly "mean of worst ms": number;
    readonly "not current %": number;
    readonly "spread ms": number;
    readonly "KB/s host": number;
    readonly "CPU ms/s host": number;
    readonly "heap KB host": number;
}

const settings = await yargs(hideBin(process.argv)).options({
    sizes: { type: "number", array: true, default: [40, 200, 900], describe: "numbers of members" },
    "pull-interval": { type: "number", default: 250, describe: "time between two pulls in ms" },
    seed: { type: "number", default: 1, describe: "seed of the random numbers" },
}).strict().parse();

const results: CapacityResult[] = [];
for (const size of settings.sizes) {
    for (const [loss, dead] of LOSS_SHARES.flatMap(loss => DEAD_SHARES.map(dead => [loss, dead] as const))) {
        results.push(await measureFleet(size, loss, dead));
        console.error(JSON.stringify(results.at(-1)));
    }
}
console.table(results);

async function measureFleet(size: number, loss: number, dead: number): Promise<CapacityResult> {
    const heapBefore = getHeapSize();
    const fleet = new FakeFleet(settings.seed);
    fleet.pullIntervalMs = settings["pull-interval"];
    await fleet.startMembers(size);
    await fleet.clock.run(WARM_UP_MS);
    const heap = getHeapSize() - heapBefore;
    for (const host of fleet.getAll()) {
        host.transport.lossShare = loss;
    }
    const spread = await measureSpread(fleet);
    fleet.store.faults.isAway = true;
    for (let index = 0; index < Math.floor(size * dead); index++) {
        fleet.stop(index);
    }
    await fleet.clock.run(OUTAGE_MS);
    const cpu = await measureCpu(fleet);
    const bytes = await measureBytes(fleet);
    const ages = await measureAges(fleet);
    return {
        members: size,
        loss,
        dead: getRounded(dead),
        "worst age ms": getRounded(Math.max(...ages.worst)),
        "mean of worst ms": getRounded(ages.worst.reduce((sum, age) => sum + age, 0) / ages.worst.length),
        "not current %": getRounded(ages.notCurrentShare * 100),
        "spread ms": spread,
        "KB/s host": getRounded(bytes / KILOBYTE),
        "CPU ms/s host": getRounded(cpu),
        "heap KB host": Math.round(heap / size / KILOBYTE),
    };
}

async function measureSpread(fleet: FakeFleet): Promise<number> {
    const version = await fleet.write(0);
    const start = fleet.clock.getTime();
    const isInstalled = (): boolean =>
        fleet.getAll().every(host => (host.membership.getHead()?.version ?? 0) >= version);
    await fleet.wait(isInstalled, SPREAD_TIMEOUT_MS, SPREAD_STEP_MS);
    return fleet.clock.getTime() - start;
}

/** Includes the in-memory network and the encoding of calls, without sockets. */
async function measureCpu(fleet: FakeFleet): Promise<number> {
    const before = process.cpuUsage();
    await fleet.clock.run(SAMPLED_MS);
    const used = process.cpuUsage(before);
    const usedMs = (used.user + used.system) / MS_PER_SECOND;
    return usedMs / fleet.getAll().length / (SAMPLED_MS / MS_PER_SECOND);
}

/** Counts calls and results of the calls that a host makes; it answers as many on average. */
async function measureBytes(fleet: FakeFleet): Promise<number> {
    for (const host of fleet.getAll()) {
        host.transport.countsBytes = true;
    }
    await fleet.clock.run(SAMPLED_MS);
    const bytes = fleet.getAll().reduce((sum, host) => sum + host.transport.bytes, 0);
    return 2 * bytes / fleet.getAll().length / (SAMPLED_MS / MS_PER_SECOND);
}

async function measureAges(fleet: FakeFleet): Promise<{ worst: number[]; notCurrentShare: number; }> {
    const worst: number[] = [];
    let notCurrent = 0;
    for (let time = 0; time < SAMPLED_MS; time += SAMPLE_STEP_MS) {
        await fleet.clock.run(SAMPLE_STEP_MS);
        worst.push(Math.max(...fleet.getAll().map(host => host.membership.getMajorityAge())));
        notCurrent += fleet.getAll().filter(host => !host.membership.isCurrent()).length / fleet.getAll().length;
    }
    return { worst, notCurrentShare: notCurrent / worst.length };
}

function getHeapSize(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

function getRounded(value: number): number {
    return Number(value.toFixed(DECIMALS));
}
