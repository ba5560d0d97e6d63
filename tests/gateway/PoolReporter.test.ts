import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { PoolReporter } from "../../src/gateway/index.js";
import { Decision } from "../../src/logging/index.js";

const test = suite("PoolReporter");

test("logs the used upstreams and unserved requests of a pool, and no pool without requests", async () => {
    const bench = new ServiceBench({ upstreams: 3, slots: 2 });
    const { clock, decisions, host } = bench;
    const reporter = new PoolReporter({ clock, decisions, memberId: "host-1", getLoads: () => host.getLoads() });
    await reporter.start();
    await clock.run(500);
    const sent = Promise.all([bench.send(), bench.send()]);
    await clock.run(1_600);
    await sent;
    await clock.run(4_000);
    await reporter.stop();
    const lines = decisions.find({}).filter(line => line.decision === Decision.LoadReported);
    assert.equal(lines.map(({ reason, service, member, figures }) => ({ reason, service, member, figures })), [
        {
            reason: "pool",
            service: "orders",
            member: "host-1",
            figures: {
                zone: "a",
                part: "a",
                upstreams: 3,
                working: 3,
                held: 0,
                resting: 0,
                away: 0,
                limited: 0,
                used: 2,
                slots: 6,
                freeSlots: 6,
                queued: 0,
                requests: 2,
                unserved: 0,
                strained: 0,
            },
        },
    ]);
});

test.run();
