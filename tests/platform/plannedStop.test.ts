import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EdgeFleet } from "./support/EdgeFleet.js";

const PAUSE_MS = 40;
const WARM_UP_MS = 6_000;
const STOP_MS = 3_500;
/** The account's rate is 34 requests per second; this key has no limit. */
const KEY = "key-3";

const test = suite("a planned stop in calm");
let fleet: EdgeFleet;

test.before.each(() => {
    fleet = new EdgeFleet();
});

test.after.each(() => fleet.stop());

for (const delayMs of [300, 1_500, 2_200]) {
    test(`answers each order that it passes on, ${delayMs} ms long, and refuses the others as not run`, async () => {
        await fleet.start(1, ["catalogue", "orders", "books"]);
        const orders = [...fleet.upstreams.values()].filter(({ id }) => id.startsWith("i-orders"));
        orders.forEach(upstream => {
            upstream.delayMs = delayMs;
            fleet.publishUpstream(upstream.id, "orders", { slots: 200, seq: 5 });
        });
        const [host] = fleet.hosts;
        const answered = new Set<string>();
        const refused = new Set<string>();
        const lost = new Set<string>();
        const sent: Promise<void>[] = [];
        const sendOrder = async (id: string): Promise<void> => {
            try {
                const { status } = await fleet.send(host!, "/order/1", { method: "POST", body: "x", id, key: KEY });
                (status === 200 ? answered : status === 503 ? refused : lost).add(id);
            }
            catch {
                lost.add(id);
            }
        };
        const sendFor = async (durationMs: number, prefix: string): Promise<void> => {
            const end = performance.now() + durationMs;
            for (let index = 0; performance.now() < end; index++) {
                sent.push(sendOrder(`${prefix}-${index}`));
                await wait(PAUSE_MS);
            }
        };
        await sendFor(WARM_UP_MS, "before");
        host!.sendSignal("SIGTERM");
        await sendFor(STOP_MS, "late");
        await Promise.all(sent);
        const ran = orders.flatMap(({ received }) => received.map(({ id }) => id));
        assert.equal(ran.filter(id => !answered.has(id)), []);
        assert.equal(ran.filter(id => refused.has(id)), []);
        assert.ok([...answered].some(id => id.startsWith("before")));
    });
}

test.run();
