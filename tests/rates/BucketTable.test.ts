import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock, FakeMembership } from "../../src/fakes/index.js";
import { BucketTable } from "../../src/rates/BucketTable.js";

const SELF = { id: "m0", region: "r", zone: "a", peerAddress: "m0:1", callerAddress: "m0:2", incarnation: "i1" };
const START = fc.double({ min: 0, max: 10_000, noNaN: true });

test("a bucket fills up to its whole burst, whichever fraction of a millisecond the process started at", async () => {
    const property = fc.asyncProperty(START, async startMs => {
        const { clock, table } = await startTable(startMs);
        await clock.run(6_000);
        const account = { name: "shop", rate: 10, burst: 10 };
        const tokens = table.get(account, clock.getTime()).apply(account, clock.getTime()).getTokens(clock.getTime());
        assert.is(Math.round(tokens), 10);
    });
    await fc.assert(property, { numRuns: 100, seed: 3 });
});

test("only the buckets of accounts in use stay in memory", async () => {
    const { clock, table } = await startTable(0);
    await clock.run(60_000);
    for (let index = 0; index < 46_000; index++) {
        const account = { name: `account-${index}`, rate: 10, burst: 10 };
        table.get(account, clock.getTime()).apply(account, clock.getTime()).spend(clock.getTime());
        if (index % 100 === 0) {
            await clock.run(1_000);
        }
    }
    assert.ok(table.getSize() <= 400, `${table.getSize()} buckets`);
});

test.run();

async function startTable(startMs: number): Promise<{ clock: FakeClock; table: BucketTable; }> {
    const clock = new FakeClock();
    await clock.run(startMs);
    const membership = new FakeMembership(SELF, { version: 1, members: [SELF] });
    return { clock, table: new BucketTable({ clock, membership }) };
}
