import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createPatientDocument } from "./support/createPatientDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";

const ORDERS = 50;
const PAUSE_MS = 125;
const SLOTS = 200;
const MIN_SERVED = 0.9 * ORDERS;
/** Far above what an order takes, so that none runs out of time on a busy machine. */
const TIME_LIMIT_MS = 30_000;

const test = suite("upstreams that are slow from their first request");
let fleet: EdgeFleet;

test.before.each(() => {
    fleet = new EdgeFleet();
});

test.after.each(() => fleet.stop());

// Guards against sound upstreams that are ejected as silent before the host knows how long the route's answers take.
for (const delayMs of [300, 1_500, 2_400]) {
    test(`nine of ten orders of ${delayMs} ms are served while their durations are not known yet`, async () => {
        await fleet.start(1, ["catalogue", "orders", "books"], {}, createPatientDocument(TIME_LIMIT_MS));
        const [host] = fleet.hosts;
        for (const id of ["i-orders-1", "i-orders-2"]) {
            fleet.upstreams.get(id)!.delayMs = delayMs;
            fleet.publishUpstream(id, "orders", { slots: SLOTS, seq: 5 });
        }
        const statuses: Promise<number>[] = [];
        for (let index = 0; index < ORDERS; index++) {
            const options = { method: "POST", body: "x", key: "key-3", deadlineMs: TIME_LIMIT_MS } as const;
            statuses.push(fleet.send(host!, `/order/${index}`, options).then(({ status }) => status));
            await wait(PAUSE_MS);
        }
        const served = (await Promise.all(statuses)).filter(status => status === 200).length;
        const ejections = host!.getLog().split("\n").filter(line => line.includes("\"ejected\""));
        assert.ok(served >= MIN_SERVED, `${served} of ${ORDERS} served; ${ejections.join("\n")}`);
    });
}

test.run();
