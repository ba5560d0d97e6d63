import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createPatientDocument } from "./support/createPatientDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { EdgeProcess } from "./support/EdgeProcess.js";

const ORDER_MS = 1_400;
const ORDERS = 26;
const SLOTS_PER_UPSTREAM = 4;
/** Orders that are answered before the stop, so that the service host knows how long they take. */
const KNOWN_ORDERS = 24;
/** Time from the first order to the stop, in milliseconds. */
const STOP_MS = 300;
/** The account's rate is 34 requests per second; this key has no limit. */
const KEY = "key-3";
/** Far above what an order takes, so that a process that stands still for a moment lets none run out of time. */
const TIME_LIMIT_MS = 30_000;

interface OrderEnd {
    readonly id: string;
    /** The status, or the error of the connection. */
    readonly end: number | string;
    /** What a failure says about the order. */
    readonly line: string;
}

const test = suite("a planned stop of a host whose requests wait at another one");
let fleet: EdgeFleet;

test.before.each(() => {
    fleet = new EdgeFleet();
});

test.after.each(() => fleet.stop());

for (const [name, knownOrders] of [["unknown", 0], ["known", KNOWN_ORDERS]] as const) {
    test(`answers each order that runs and refuses the others as not run, the time that orders take being ${name}`, async () => {
        await fleet.start(2, ["catalogue", "orders", "books"], {}, createPatientDocument(TIME_LIMIT_MS));
        const taker = await findOtherHost();
        const upstreams = [...fleet.upstreams.values()].filter(({ id }) => id.startsWith("i-orders"));
        upstreams.forEach(upstream => {
            upstream.delayMs = ORDER_MS;
            fleet.publishUpstream(upstream.id, "orders", { slots: SLOTS_PER_UPSTREAM, seq: 5 });
        });
        await wait(STOP_MS);
        await Promise.all(Array.from({ length: knownOrders }, (_, index) => sendOrder(taker, `known-${index}`)));
        const sent = Array.from({ length: ORDERS }, (_, index) => sendOrder(taker, `order-${index}`));
        await wait(STOP_MS);
        taker.sendSignal("SIGTERM");
        const ends = await Promise.all(sent);
        const ran = upstreams.flatMap(({ received }) => received.map(({ id }) => id));
        assert.is(new Set(ran).size, ran.length);
        const wrong = ends.filter(({ id, end }) => end !== (ran.includes(id) ? 200 : 503));
        assert.is(wrong.length, 0, `orders with a wrong end:\n${wrong.map(({ line }) => line).join("\n")}`);
        assert.ok(ends.some(({ end }) => end === 200) && ends.some(({ end }) => end === 503));
    });
}

test.run();

/** Finds the host that is not the service host of the orders. */
async function findOtherHost(): Promise<EdgeProcess> {
    await sendOrder(fleet.hosts[0]!, "first");
    const isServiceHost = (host: EdgeProcess): boolean =>
        host.getLog().split("\n").some(line => line.includes("\"dispatched\"") && line.includes("\"first\""));
    await fleet.waitUntil(async () => fleet.hosts.some(isServiceHost));
    return fleet.hosts.find(host => !isServiceHost(host))!;
}

async function sendOrder(host: EdgeProcess, id: string): Promise<OrderEnd> {
    const start = performance.now();
    const options = { method: "POST", body: "x", id, key: KEY, deadlineMs: TIME_LIMIT_MS } as const;
    const { end, detail } = await fleet.send(host, "/order/1", options).then(
        ({ status, headers, body }) => ({ end: status, detail: `${headers["retry-after"] ?? ""} ${body}` }),
        (error: Error) => ({ end: error.message, detail: "" }),
    );
    return { id, end, line: `${id} after ${Math.round(performance.now() - start)} ms: ${end} ${detail}` };
}
