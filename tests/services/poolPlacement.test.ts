import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PeerMethod } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { DispatchBench } from "../support/DispatchBench.js";
import type { HostCapacity } from "../support/HostCapacity.js";

/** A large deployment: about thirty hosts in each of three zones. */
const HOSTS = 93;
const LARGE_HOSTS = 6;
const LARGE: HostCapacity = { cores: 1.35, linkMbps: 140 };
const SMALL: HostCapacity = { cores: 0.27, linkMbps: 7 };
const WARM_UP_MS = 2_000;
const DURATION_MS = 6_000;
const PROBE_GAP_MS = 250;
/** The platform's floor: the least share of a service's upstreams that must receive a request in each window. */
const FLOOR_SHARE = 0.7;
const WINDOW_MS = 2_000;
/** Hosts that take longer to answer a liveness call count as silent; owners of rates have slightly more time. In milliseconds. */
const ANSWER_MS = 200;
const MAX_ATTEMPTS = 2;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

interface Load {
    readonly perSecond: number;
    readonly isIdempotent: boolean;
    readonly upstreamsPerZone: number;
    readonly serviceTimeMs: number;
    readonly answerBytes: number;
}

const DOWNLOADS: Load = {
    perSecond: 54,
    isIdempotent: true,
    upstreamsPerZone: 4,
    serviceTimeMs: 360,
    answerBytes: 90_000,
};
const ORDERS: Load = {
    perSecond: 240,
    isIdempotent: false,
    upstreamsPerZone: 24,
    serviceTimeMs: 470,
    answerBytes: 1_500,
};

const test = suite("placement of pools");

for (const seed of SEEDS) {
    test(`hosts that serve downloads answer peer calls in time and meet the floor, few large hosts, seed ${seed}`, async () => {
        await checkAnswers(DOWNLOADS, seed, index => index < LARGE_HOSTS ? LARGE : SMALL);
    });

    test(`hosts that serve orders answer peer calls in time and meet the floor, few large hosts, seed ${seed}`, async () => {
        await checkAnswers(ORDERS, seed, index => index < LARGE_HOSTS ? LARGE : SMALL);
    });
}

for (const seed of SEEDS.slice(0, 3)) {
    test(`hosts that serve orders answer peer calls in time and meet the floor, small hosts only, seed ${seed}`, async () => {
        await checkAnswers(ORDERS, seed, () => SMALL);
    });
}

test.run();

async function checkAnswers(load: Load, seed: number, getPower: (index: number) => HostCapacity): Promise<void> {
    const { perSecond, isIdempotent, ...options } = load;
    const bench = new DispatchBench({
        ...options,
        hosts: HOSTS,
        service: { name: `service-${seed}` },
        getHostCapacity: getPower,
    });
    const { clock } = bench;
    const random = new SeededRandom(seed);
    const late = new Set<string>();
    let probeTime = WARM_UP_MS;
    while (clock.getTime() < DURATION_MS) {
        void bench.run(Math.floor(random.getNext() * HOSTS), MAX_ATTEMPTS, isIdempotent);
        await clock.run(1_000 / perSecond);
        if (clock.getTime() >= probeTime) {
            probeTime += PROBE_GAP_MS;
            sendProbes(bench, late);
        }
    }
    await clock.run(WARM_UP_MS);
    assert.equal([...late], []);
    for (let start = WARM_UP_MS; start < DURATION_MS; start += WINDOW_MS) {
        const records = bench.upstreams.records.filter(({ time }) => time >= start && time < start + WINDOW_MS);
        const used = new Set(records.map(record => record.upstream)).size;
        const total = bench.service.upstreams.length;
        assert.ok(
            used >= FLOOR_SHARE * total,
            `${used} of ${total} upstreams received a request in the window from ${start} ms`,
        );
    }
}

function sendProbes(bench: DispatchBench, late: Set<string>): void {
    for (const { membership } of bench.hosts) {
        const { id, peerAddress } = membership.getSelf();
        bench.network.createTransport("probe").send(peerAddress, PeerMethod.IsServing, {}, ANSWER_MS)
            .catch(() => late.add(id));
    }
}
