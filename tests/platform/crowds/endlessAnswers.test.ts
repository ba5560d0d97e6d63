import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "../support/EdgeFleet.js";
import { getPeakMemory } from "../support/getPeakMemory.js";
import { readAndDiscard } from "../support/readAndDiscard.js";

const HOSTS = 2;
/** Callers at each host; a service is hosted by one of the two, so that half of the answers pass through both. */
const CALLERS = 20;
const ROUNDS = 3;
const LONG_ANSWER = Buffer.alloc(16 * 1024 * 1024, "a");
/** What a host may hold more than with answers that end: a tenth. */
const MAX_GROWTH = 1.1;
/** The heap limit with which hosts run on the platform. */
const NODE_ARGUMENTS = ["--max-old-space-size=160", "--max-semi-space-size=2", "--expose-gc"];

const test = suite("answers without an end, through two hosts");
const fleet = new EdgeFleet();
const { upstreams } = fleet;

test.before(() => fleet.start(HOSTS, ["catalogue", "orders", "books"], { nodeArguments: NODE_ARGUMENTS }));

test.after(() => fleet.stop());

// Guards against a host that keeps what comes faster than its caller or the next host takes it.
test("fill no memory, and requests of other services are answered", async () => {
    upstreams.forEach((upstream, id) => (upstream.answer = id.startsWith("i-books") ? LONG_ANSWER : undefined));
    await runRounds();
    const usual = fleet.hosts.map(host => getPeakMemory(host)!);
    upstreams.forEach((upstream, id) => {
        upstream.endlessChunkIntervalMs = id.startsWith("i-books") ? 0 : undefined;
    });
    await runRounds();
    const peaks = fleet.hosts.map(host => getPeakMemory(host)!);
    console.log(`peaks ${usual.join()} and ${peaks.join()} bytes`);
    peaks.forEach((peak, index) => assert.ok(peak <= MAX_GROWTH * usual[index]!, `${peak} after ${usual[index]}`));
    await fleet.waitUntil(async () => [...upstreams.values()].every(upstream => upstream.openEndlessResponses === 0));
});

test.run();

/** Lets callers read books at both hosts, and send orders beside them. */
async function runRounds(): Promise<void> {
    for (let round = 0; round < ROUNDS; round++) {
        const books = Array.from(
            { length: CALLERS * HOSTS },
            (_, index) => readAndDiscard(fleet.hosts[index % HOSTS]!.callerAddress, `/books/${round}-${index}`),
        );
        const orders = fleet.hosts.map((host, index) =>
            fleet.send(host, `/order/${round}-${index}`, { method: "POST", body: "x" })
        );
        assert.equal((await Promise.all(orders)).map(({ status }) => status), [200, 200]);
        await Promise.all(books);
    }
}
