import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getServiceParts } from "../../src/configuration/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { DispatchBench } from "../support/DispatchBench.js";

const HOSTS = 93;
const UPSTREAMS_A_ZONE = 24;
const SERVICE_TIME_MS = 700;
const ORDERS_PER_SECOND = 250;
const MAX_ATTEMPTS = 2;
const SLOTS = 6;
/** Healthy upstreams left in a part, too few for its share of the load. */
const HEALTHY_LEFT = 2;
const WARM_UP_MS = 4_000;
const DURATION_MS = 10_000;
const END_MS = 8_000;
/** Response-time goal; orders answered later count as late, in milliseconds. */
const GOAL_MS = 2_000;
/** Half of the upstreams suffice for the load, so almost no order has to wait. */
const MAX_LATE_SHARE = 0.02;

const test = suite("part loads");

for (const seed of [1, 2, 3]) {
    test(`a part that has lost most of its upstreams delays few orders while other parts have free slots, seed ${seed}`, async () => {
        const bench = new DispatchBench({
            hosts: HOSTS,
            upstreamsPerZone: UPSTREAMS_A_ZONE,
            serviceTimeMs: SERVICE_TIME_MS,
            service: { name: `orders-${seed}`, queuePerSlot: 2 },
        });
        const parts = getServiceParts(bench.service);
        assert.ok(bench.service.upstreams.length * SLOTS > 2 * ORDERS_PER_SECOND * SERVICE_TIME_MS / 1_000);
        for (const zone of new Set(parts.map(part => part.zone))) {
            const largest = parts.filter(part => part.zone === zone)
                .sort((left, right) => right.upstreams.length - left.upstreams.length)[0]!;
            largest.upstreams.slice(HEALTHY_LEFT).forEach(({ name }) =>
                bench.upstreams.applyFaults(name, { errorRate: 1 })
            );
        }
        const random = new SeededRandom(seed);
        let sentCount = 0;
        let lateCount = 0;
        while (bench.clock.getTime() < DURATION_MS) {
            const start = bench.clock.getTime();
            const sent = bench.run(Math.floor(random.getNext() * HOSTS), MAX_ATTEMPTS, false);
            if (start >= WARM_UP_MS) {
                sentCount++;
                void sent.then(({ kind }) => {
                    lateCount += kind !== OutcomeKind.Done || bench.clock.getTime() - start > GOAL_MS ? 1 : 0;
                });
            }
            await bench.clock.run(1_000 / ORDERS_PER_SECOND);
        }
        await bench.clock.run(END_MS);
        assert.ok(
            lateCount <= MAX_LATE_SHARE * sentCount,
            `${lateCount} of ${sentCount} orders were late or not answered`,
        );
    });
}

test.run();
