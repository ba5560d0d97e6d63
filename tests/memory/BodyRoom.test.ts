import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { BodyRoom, createMemoryLimits, MemoryBudget, MemoryKind } from "../../src/memory/index.js";

const MB = 1_000_000;
const IDLE_MS = 5_000;
const TIMEOUT_MS = 10_000;
/** Memory that leaves 21 MB for callers' bodies, three quarters of them for large ones. */
const MEMORY_BYTES = 230 * MB;

const test = suite("BodyRoom");
let clock: FakeClock;
let budget: MemoryBudget;
let room: BodyRoom;
let evicted: string[];

test.before.each(() => {
    clock = new FakeClock();
    budget = new MemoryBudget(createMemoryLimits(MEMORY_BYTES));
    room = new BodyRoom({ clock, budget, getIdleTimeout: () => IDLE_MS });
    evicted = [];
});

test("a small body is read beside large ones that fill their share, and a single one larger than the share", async () => {
    for (const [name, bytes] of [["oversized", 60 * MB], ["large", 15 * MB]] as const) {
        const place = create(name);
        assert.ok(await room.claim(place, bytes));
        room.recordEnd(place);
    }
    assert.ok(await room.claim(create("small"), 2_000));
    assert.is(budget.getHeld(MemoryKind.Body), 75 * MB + 2_000);
    const refused = room.claim(create("second oversized"), 60 * MB);
    await clock.run(1_000);
    assert.not.ok(await refused);
});

test("of the bodies that wait the smallest is read first, and one that has waited too long is refused", async () => {
    const first = create("first");
    assert.ok(await room.claim(first, 15 * MB));
    room.recordEnd(first);
    const granted: string[] = [];
    const waits = [["large", 12 * MB], ["small", 8 * MB]].map(async ([name, bytes]) => {
        const place = create(String(name));
        if (await room.claim(place, Number(bytes))) {
            room.recordEnd(place);
            granted.push(String(name));
        }
    });
    await clock.run(200);
    room.release(first);
    await clock.run(1_000);
    await Promise.all(waits);
    assert.equal(granted, ["small"]);
});

test("the slowest body makes way for one that waits, and one that makes progress doesn't", async () => {
    const slow = create("slow");
    const fast = create("fast");
    assert.ok(await room.claim(slow, 7 * MB));
    assert.ok(await room.claim(fast, 7 * MB));
    const waiting = room.claim(create("waiting"), 7 * MB);
    for (let time = 0; time < 700; time += 100) {
        room.receive(slow, 100);
        room.receive(fast, 20_000);
        await clock.run(100);
    }
    assert.ok(await waiting);
    assert.equal(evicted, ["slow: Memory is short and the body comes too slowly."]);
});

test("in calm a body is given up only after the idle timeout, or when its request's time is over", async () => {
    const silent = create("silent");
    const trickling = create("trickling");
    assert.ok(await room.claim(silent, MB));
    assert.ok(await room.claim(trickling, MB));
    for (let time = 0; time < TIMEOUT_MS + 200; time += 100) {
        room.receive(trickling, 1);
        await clock.run(100);
        assert.ok(time + 100 >= IDLE_MS || evicted.length === 0);
    }
    assert.equal(evicted.map(text => text.split(":")[0]), ["silent", "trickling"]);
    assert.is(budget.getHeld(MemoryKind.Body), 0);
});

test.run();

function create(name: string): ReturnType<BodyRoom["create"]> {
    return room.create(MemoryKind.Body, TIMEOUT_MS, detail => evicted.push(`${name}: ${detail}`));
}
