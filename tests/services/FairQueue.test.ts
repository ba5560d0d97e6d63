import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { FairQueue } from "../../src/services/queue/FairQueue.js";
import type { FairQueueItem } from "../../src/services/queue/FairQueueItem.js";

const SEED = 7;
const RUNS = 300;
const SLOTS = 2;

const ITEM = { weight: 1, cost: 10, priority: 0, dueTime: 1_000 };

interface NumberedItem extends FairQueueItem {
    readonly id: number;
}

test("loses or duplicates no item, and keeps the order within each account", () => {
    const step = fc.oneof(
        fc.record({ kind: fc.constant("add"), account: fc.nat(4), weight: fc.integer({ min: 1, max: 5 }) }),
        fc.record({ kind: fc.constant("select"), account: fc.nat(4), weight: fc.constant(1) }),
        fc.record({ kind: fc.constant("remove"), account: fc.nat(4), weight: fc.constant(1) }),
    );
    const property = fc.property(fc.array(step, { maxLength: 200 }), steps => {
        const queue = createQueue();
        const waiting = new Map<number, NumberedItem>();
        steps.forEach(({ kind, account, weight }, id) => {
            if (kind === "add") {
                const item = { ...ITEM, id, account: `a${account}`, weight };
                waiting.set(id, item);
                queue.add(item);
                return;
            }
            const isSelect = kind === "select";
            const item = isSelect ? queue.select(() => true) : [...waiting.values()][account];
            if (item === undefined) {
                assert.ok(!isSelect || waiting.size === 0);
                return;
            }
            const first = [...waiting.values()].find(other => other.account === item.account);
            assert.ok(!isSelect || first === item);
            assert.ok(isSelect || queue.remove(item));
            assert.not(queue.remove(item));
            assert.ok(waiting.delete(item.id));
            assert.is(queue.getSize(), waiting.size);
        });
        assert.equal(new Set(queue.getItems()), new Set(waiting.values()));
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test("accounts with queued items share the slot time by their weights", () => {
    const queue = createQueue();
    for (let id = 0; id < 600; id++) {
        queue.add({ ...ITEM, id, account: "large", weight: 3 });
        queue.add({ ...ITEM, id, account: "small" });
    }
    const started = Array.from({ length: 400 }, () => queue.select(() => true)!.account);
    const large = started.filter(account => account === "large").length;
    assert.ok(Math.abs(large - 300) <= 3, `${large} of 400`);
});

test("an account whose requests take longer than expected starts fewer", () => {
    const queue = createQueue();
    for (let id = 0; id < 600; id++) {
        queue.add({ ...ITEM, id, account: "slow" });
        queue.add({ ...ITEM, id, account: "quick" });
    }
    let slow = 0;
    for (let start = 0; start < 400; start++) {
        const { account } = queue.select(() => true)!;
        slow += Number(account === "slow");
        queue.recordCost(account, account === "slow" ? 20 : 0);
    }
    assert.ok(Math.abs(slow - 100) <= 3, `${slow} of 400`);
});

test("of one account, the more urgent item starts first, then the one whose target can be met, then the one that is due first", () => {
    const clock = new FakeClock();
    const queue = createQueue(clock);
    queue.add({ ...ITEM, id: 1, priority: 1, dueTime: -1 });
    queue.add({ ...ITEM, id: 2, priority: 1, dueTime: 700 });
    queue.add({ ...ITEM, id: 3, priority: 1, dueTime: 500 });
    queue.add({ ...ITEM, id: 4, priority: 0, dueTime: 900 });
    assert.equal(selectAll(queue), [4, 3, 2, 1]);
});

test("a less urgent priority keeps two fifths of the share of its items that all priorities together have served", () => {
    const queue = createQueue();
    const accounts = new Map([["urgent", 0], ["other", 2]]);
    const started: NumberedItem[] = [];
    for (let id = 0; id < 1_000; id++) {
        for (const [account, priority] of accounts) {
            const item = { ...ITEM, id, account: `${account}${id % 10}`, priority };
            queue.recordAsked(item);
            queue.add(item);
        }
        if (queue.getSize() > 20) {
            queue.remove(queue.findLeastUrgent()!);
        }
        started.push(queue.select(() => true)!);
    }
    const others = started.filter(item => item.priority === 2).length;
    assert.ok(others >= 190 && others <= 230, `${others} of ${started.length}`);
});

test("an account that names all its items urgent gets no more than its share beyond a second's lead", () => {
    const queue = createQueue();
    for (let id = 0; id < 2_000; id++) {
        queue.add({ ...ITEM, id, account: "urgent" });
        queue.add({ ...ITEM, id, account: "other", priority: 2 });
    }
    const started = Array.from({ length: 2_000 }, () => queue.select(() => true)!.account);
    const lead = started.filter(account => account === "urgent").length - started.length / 2;
    assert.ok(lead * ITEM.cost <= 1_000 * SLOTS, `${lead} items ahead`);
    const later = started.slice(-400).filter(account => account === "urgent").length;
    assert.ok(Math.abs(later - 200) <= 40, `${later} of the last 400`);
});

test("the item to refuse is one of the account above its share, then the least urgent, then the longest", () => {
    const queue = createQueue();
    for (let id = 0; id < 300; id++) {
        queue.add({ ...ITEM, id, account: "busy" });
    }
    queue.add({ ...ITEM, id: 400, account: "small", priority: 2 });
    assert.is(queue.findLeastUrgent()!.account, "busy");
    const level = createQueue();
    level.add({ ...ITEM, id: 1, priority: 1, cost: 80 });
    level.add({ ...ITEM, id: 2, priority: 1, cost: 25 });
    level.add({ ...ITEM, id: 3 });
    assert.is(level.findLeastUrgent()!.id, 1);
    const added = { ...ITEM, id: 4, priority: 2 };
    assert.is(level.findLeastUrgent(added), added);
});

test("the work ahead of an item is that of its own place", () => {
    const queue = createQueue();
    for (let id = 0; id < 10; id++) {
        queue.add({ ...ITEM, id, priority: 1, account: `a${id}` });
    }
    assert.is(queue.measureWorkAhead({ ...ITEM, id: 20 }), 0);
    assert.is(queue.measureWorkAhead({ ...ITEM, id: 20, priority: 2 }), 100);
    queue.add({ ...ITEM, id: 11, account: undefined, cost: 30 });
    assert.is(queue.measureWorkAhead({ ...ITEM, id: 20, dueTime: 2_000 }), 30);
});

test.run();

function createQueue(clock = new FakeClock()): FairQueue<NumberedItem> {
    return new FairQueue<NumberedItem>(clock, () => SLOTS);
}

function selectAll(queue: FairQueue<NumberedItem>): number[] {
    return Array.from({ length: queue.getSize() }, () => queue.select(() => true)!.id);
}
