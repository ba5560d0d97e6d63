import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FairQueue } from "../../src/services/queue/FairQueue.js";
import type { FairQueueItem } from "../../src/services/queue/FairQueueItem.js";

const SEED = 7;
const RUNS = 300;

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
        const queue = new FairQueue<NumberedItem>();
        const waiting = new Map<number, NumberedItem>();
        steps.forEach(({ kind, account, weight }, id) => {
            if (kind === "add") {
                const item = { id, account: `a${account}`, weight, cost: 10 };
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
    const queue = new FairQueue<NumberedItem>();
    for (let id = 0; id < 600; id++) {
        queue.add({ id, account: "large", weight: 3, cost: 10 });
        queue.add({ id, account: "small", weight: 1, cost: 10 });
    }
    const started = Array.from({ length: 400 }, () => queue.select(() => true)!.account);
    const large = started.filter(account => account === "large").length;
    assert.ok(Math.abs(large - 300) <= 3, `${large} of 400`);
});

test("an account whose requests take longer than expected starts fewer", () => {
    const queue = new FairQueue<NumberedItem>();
    for (let id = 0; id < 600; id++) {
        queue.add({ id, account: "slow", weight: 1, cost: 10 });
        queue.add({ id, account: "quick", weight: 1, cost: 10 });
    }
    let slow = 0;
    for (let start = 0; start < 400; start++) {
        const { account } = queue.select(() => true)!;
        slow += Number(account === "slow");
        queue.recordCost(account, account === "slow" ? 20 : 0);
    }
    assert.ok(Math.abs(slow - 100) <= 3, `${slow} of 400`);
});

test.run();
