import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { PartSelectOptions } from "../../../src/accounts/placing/PartSelectOptions.js";
import { PartSelector } from "../../../src/accounts/placing/PartSelector.js";
import { getServiceParts } from "../../../src/configuration/index.js";
import type { Service } from "../../../src/configuration/index.js";
import { FakeClock } from "../../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../../src/gateway/index.js";
import { SeededRandom } from "../../../src/random/index.js";
import type { PartCapacityReport } from "../../../src/services/index.js";

const UPSTREAMS_A_ZONE = 24;
const SLOTS = 2;
const CHOICES = 300;
/** How long a load report is used, in milliseconds. */
const LOAD_LIFETIME_MS = 2_000;
/** How long a request may wait, in milliseconds. */
const SLACK_MS = 1_000;
/** Mean time for which a request uses a slot, in milliseconds. */
const SLOT_TIME_MS = 200;
const OPTIONS: PartSelectOptions = { slackMs: SLACK_MS };
const NOTHING: ReadonlySet<string> = new Set();

const SERVICE: Service = {
    ...GATEWAY_SERVICE_DEFAULTS,
    name: "orders",
    upstreams: ["a", "b"].flatMap(zone =>
        Array.from({ length: UPSTREAMS_A_ZONE }, (_, index) => {
            return { name: `${zone}-${index}`, address: `${zone}-${index}:1`, zone, slots: SLOTS, connections: 300 };
        })
    ),
    floor: 0.5,
    retryBudget: 0.2,
};
const ZONE_PARTS = {
    a: getServiceParts(SERVICE).filter(part => part.zone === "a"),
    b: getServiceParts(SERVICE).filter(part => part.zone === "b"),
};
const OWN_PARTS = ZONE_PARTS.a;

const test = suite("PartSelector");
let clock: FakeClock;
let selector: PartSelector;

test.before.each(() => {
    clock = new FakeClock();
    selector = new PartSelector({ clock, random: new SeededRandom(1), ownZone: "a" });
});

test("requests are divided among the parts of the own zone in proportion to their slots", () => {
    const counts = findChoiceCounts();
    assert.equal([...counts.keys()].sort(), OWN_PARTS.map(part => part.key));
    for (const { key, slots } of OWN_PARTS) {
        const share = slots / (UPSTREAMS_A_ZONE * SLOTS);
        assert.ok(Math.abs(counts.get(key)! / CHOICES - share) < 0.1, `${counts.get(key)} of ${CHOICES} for ${share}`);
    }
});

test("a part that last reported no free slots gets almost no requests until the report expires", async () => {
    const [full] = OWN_PARTS;
    selector.recordLoad("orders", { part: full!.key, freeSlots: 0, queued: 9, ageMs: 0 });
    assert.ok((findChoiceCounts().get(full!.key) ?? 0) < 0.02 * CHOICES);
    selector.recordLoad("orders", { part: full!.key, freeSlots: full!.slots, queued: 0, ageMs: 1_500 });
    assert.ok((findChoiceCounts().get(full!.key) ?? 0) < 0.02 * CHOICES, "an older report replaced a newer one");
    await clock.run(LOAD_LIFETIME_MS + 1);
    assert.ok((findChoiceCounts().get(full!.key) ?? 0) > 0.1 * CHOICES);
});

test("requests stay in the zone while the wait there is a small share of what their target leaves", () => {
    recordZone("a", { waitMs: 0.05 * SLACK_MS });
    recordZone("b", {});
    assert.is(getShareOutside(), 0);
});

test("more requests leave the zone the longer its wait is, and all of them once it takes half of what their target leaves", () => {
    recordZone("b", {});
    recordZone("a", { waitMs: 0.2 * SLACK_MS });
    const share = getShareOutside();
    recordZone("a", { waitMs: 0.4 * SLACK_MS });
    const laterShare = getShareOutside();
    recordZone("a", { waitMs: 0.6 * SLACK_MS });
    assert.ok(share > 0.1 && share < laterShare && laterShare < 0.9, `${share} and ${laterShare}`);
    assert.ok(getShareOutside() > 0.95);
});

test("large requests leave the zone at longer waits than others", () => {
    recordZone("b", {});
    recordZone("a", { waitMs: 0.45 * SLACK_MS });
    assert.is(getShareOutside({ isLarge: true }), 0);
    assert.ok(getShareOutside() > 0.5);
});

test("a request whose target leaves no time goes where a slot is free at once", () => {
    recordZone("a", { waitMs: 50 });
    recordZone("b", {});
    assert.ok(getShareOutside({ slackMs: 0 }) > 0.95);
});

test("requests stay in a zone with a long wait if the others are about as busy", () => {
    recordZone("a", { waitMs: SLACK_MS });
    recordZone("b", { waitMs: 0.7 * SLACK_MS });
    assert.is(getShareOutside(), 0);
});

test("requests leave a zone whose upstreams are all ejected, also if nothing is known of the others", () => {
    recordZone("a", { slots: 0 });
    assert.ok(getShareOutside() > 0.95);
    recordZone("b", {});
    assert.ok(getShareOutside() > 0.95);
});

test("half of a zone's upstreams being ejected makes no request leave while the other half has free slots", () => {
    recordZone("a", { slots: 8, freeSlots: 2 });
    recordZone("b", {});
    assert.is(getShareOutside(), 0);
});

test("a zone of which only an older host's report is known gets no requests, however free it says it is", () => {
    recordZone("a", { waitMs: SLACK_MS });
    ZONE_PARTS.b.forEach(({ key }) => selector.recordLoad("orders", { part: key, freeSlots: 9, queued: 0, ageMs: 0 }));
    assert.is(getShareOutside(), 0);
});

test("requests leave a zone that older hosts report as full for one that is known to have free slots", () => {
    OWN_PARTS.forEach(({ key }) => selector.recordLoad("orders", { part: key, freeSlots: 0, queued: 2, ageMs: 0 }));
    recordZone("b", {});
    assert.ok(getShareOutside() > 0.95);
});

test("free slots of upstreams that fail draw no requests from another zone, and lose those of their own", () => {
    recordZone("a", { waitMs: SLACK_MS });
    recordZone("b", { servedShare: 0.1 });
    assert.is(getShareOutside(), 0);
    recordZone("a", { servedShare: 0.1 });
    recordZone("b", { servedShare: 0.95 });
    assert.ok(getShareOutside() > 0.8);
});

test("a failure of all zones alike keeps requests in their zone", () => {
    recordZone("a", { servedShare: 0.45 });
    recordZone("b", { servedShare: 0.5 });
    assert.is(getShareOutside(), 0);
});

test("the requests sent since a report count as a wait, and an expired report counts as unknown", async () => {
    recordZone("a", { freeSlots: 0 });
    recordZone("b", {});
    assert.is(getShareOutside(), 0);
    OWN_PARTS.forEach(({ key, slots }) => {
        for (let sent = 0; sent < 3 * slots; sent++) {
            selector.recordSent("orders", key);
        }
    });
    assert.ok(getShareOutside() > 0.95);
    await clock.run(LOAD_LIFETIME_MS + 1);
    recordZone("b", {});
    assert.is(getShareOutside(), 0);
});

test("excluded parts are not selected, and the result is undefined if all are excluded", () => {
    const keys = getServiceParts(SERVICE).map(part => part.key);
    assert.is(selector.select(SERVICE, new Set(keys.slice(1)), OPTIONS)!.key, keys[0]);
    assert.is(selector.select(SERVICE, new Set(keys), OPTIONS), undefined);
});

test.run();

function recordZone(
    zone: "a" | "b",
    { freeSlots, ...capacity }: Partial<PartCapacityReport & { freeSlots: number; }>,
): void {
    for (const { key, slots } of ZONE_PARTS[zone]) {
        const queued = (capacity.waitMs ?? 0) * slots / SLOT_TIME_MS;
        selector.recordLoad("orders", {
            part: key,
            freeSlots: freeSlots ?? (queued > 0 || capacity.slots === 0 ? 0 : slots),
            queued,
            capacity: { slots, slotTimeMs: SLOT_TIME_MS, waitMs: 0, servedShare: 1, ...capacity },
            ageMs: 0,
        });
    }
}

function getShareOutside(options: Partial<PartSelectOptions> = {}): number {
    const counts = findChoiceCounts({ ...OPTIONS, ...options });
    return [...counts].reduce((sum, [key, count]) => sum + (key.startsWith("a") ? 0 : count), 0) / CHOICES;
}

function findChoiceCounts(options = OPTIONS): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (let choice = 0; choice < CHOICES; choice++) {
        const { key } = selector.select(SERVICE, NOTHING, options)!;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
}
