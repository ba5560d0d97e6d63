import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PartSelector } from "../../src/accounts/PartSelector.js";
import { getServiceParts } from "../../src/configuration/index.js";
import type { Service } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { SeededRandom } from "../../src/random/index.js";

const UPSTREAMS_A_ZONE = 24;
const SLOTS = 2;
const CHOICES = 300;
/** How long a report counts, in milliseconds. */
const LOAD_LIFETIME_MS = 2_000;
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
const OWN_PARTS = getServiceParts(SERVICE).filter(part => part.zone === "a");

const test = suite("PartSelector");
let clock: FakeClock;
let selector: PartSelector;

test.before.each(() => {
    clock = new FakeClock();
    selector = new PartSelector({ clock, random: new SeededRandom(1), ownZone: "a" });
});

test("the parts of the own zone share its requests by their slots", () => {
    const counts = findChoiceCounts();
    assert.equal([...counts.keys()].sort(), OWN_PARTS.map(part => part.key));
    for (const { key, slots } of OWN_PARTS) {
        const share = slots / (UPSTREAMS_A_ZONE * SLOTS);
        assert.ok(Math.abs(counts.get(key)! / CHOICES - share) < 0.1, `${counts.get(key)} of ${CHOICES} for ${share}`);
    }
});

test("a part that is full by its last report gets hardly a request until the report is old", async () => {
    const [full] = OWN_PARTS;
    selector.recordLoad("orders", { part: full!.key, freeSlots: 0, queued: 9, ageMs: 0 });
    assert.ok((findChoiceCounts().get(full!.key) ?? 0) < 0.02 * CHOICES);
    selector.recordLoad("orders", { part: full!.key, freeSlots: full!.slots, queued: 0, ageMs: 1_500 });
    assert.ok((findChoiceCounts().get(full!.key) ?? 0) < 0.02 * CHOICES, "an older report changed it");
    await clock.run(LOAD_LIFETIME_MS + 1);
    assert.ok((findChoiceCounts().get(full!.key) ?? 0) > 0.1 * CHOICES);
});

test("other zones get requests once less than a quarter of the own zone's slots is free", () => {
    OWN_PARTS.forEach(({ key }) => selector.recordLoad("orders", { part: key, freeSlots: 1, queued: 0, ageMs: 0 }));
    assert.ok([...findChoiceCounts().keys()].some(key => key.startsWith("b")));
});

test("excluded parts are left out, and there is none if all are", () => {
    const keys = getServiceParts(SERVICE).map(part => part.key);
    assert.is(selector.select(SERVICE, new Set(keys.slice(1)))!.key, keys[0]);
    assert.is(selector.select(SERVICE, new Set(keys)), undefined);
});

test.run();

function findChoiceCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (let choice = 0; choice < CHOICES; choice++) {
        const { key } = selector.select(SERVICE, NOTHING)!;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
}
