import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createPatientDocument } from "./support/createPatientDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";

const PAUSE_MS = 40;
const WARM_UP_MS = 6_000;
const STOP_MS = 3_500;
/** The account's rate is 34 requests per second; this key has no limit. */
const KEY = "key-3";
/** Far above what an order takes, so that a process that stands still for a moment lets none run out of time. */
const TIME_LIMIT_MS = 30_000;

const test = suite("a planned stop in calm");
let fleet: EdgeFleet;

test.before.each(() => {
    fleet = new EdgeFleet();
});

test.after.each(() => fleet.stop());

for (const delayMs of [300, 1_500, 2_200]) {
    test(`answers each order that it passes on, ${delayMs} ms long, and refuses the others as not run`, async () => {
        await fleet.start(1, ["catalogue", "orders", "books"], {}, createPatientDocument(TIME_LIMIT_MS));
        const orders = [...fleet.upstreams.values()].filter(({ id }) => id.startsWith("i-orders"));
        orders.forEach(upstream => {
            upstream.delayMs = delayMs;
            fleet.publishUpstream(upstream.id, "orders", { slots: 200, seq: 5 });
        });
        const [host] = fleet.hosts;
        /** What became of each order by its id: a status, or the error of its connection. */
        const ends = new Map<string, number | string>();
        /** When each order was sent and ended, and when the stop began, to explain a failure. */
        const times: string[] = [];
        const startTime = performance.now();
        const getElapsed = (): number => Math.round(performance.now() - startTime);
        const sent: Promise<void>[] = [];
        const sendOrder = async (id: string): Promise<void> => {
            const sentAt = getElapsed();
            const options = { method: "POST", body: "x", id, key: KEY, deadlineMs: TIME_LIMIT_MS } as const;
            const end = await fleet.send(host!, "/order/1", options).then(
                ({ status, body }) => ({ end: status, detail: status === 200 ? "" : body }),
                (error: Error) => ({ end: error.message, detail: "" }),
            );
            ends.set(id, end.end);
            times.push(`${id} ${sentAt} to ${getElapsed()} ms: ${end.end} ${end.detail}`);
        };
        const findLines = (ids: readonly string[]): readonly string[] =>
            times.filter(line => ids.some(id => line.startsWith(`${id} `)) || line.startsWith("SIGTERM"));
        const sendFor = async (durationMs: number, prefix: string): Promise<void> => {
            const end = performance.now() + durationMs;
            for (let index = 0; performance.now() < end; index++) {
                sent.push(sendOrder(`${prefix}-${index}`));
                await wait(PAUSE_MS);
            }
        };
        await sendFor(WARM_UP_MS, "before");
        times.push(`SIGTERM at ${getElapsed()} ms`);
        host!.sendSignal("SIGTERM");
        await sendFor(STOP_MS, "late");
        await Promise.all(sent);
        const ran = orders.flatMap(({ received }) => received.map(({ id }) => id));
        const unanswered = ran.filter(id => ends.get(id) !== 200);
        assert.is(unanswered.length, 0, `orders that ran without an answer:\n${findLines(unanswered).join("\n")}`);
        assert.ok(ran.some(id => id.startsWith("before")));
    });
}

test.run();
