import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { createMemoryLimits, MemoryBudget, MemoryKind, UnreadAnswers } from "../../src/memory/index.js";

const MB = 1_000_000;

const test = suite("UnreadAnswers");
let clock: FakeClock;
let budget: MemoryBudget;
let answers: UnreadAnswers;
let closed: string[];

test.before.each(() => {
    clock = new FakeClock();
    budget = new MemoryBudget(createMemoryLimits(200 * MB));
    answers = new UnreadAnswers({ clock, budget, decisions: { record: () => {} } });
    closed = [];
});

test("the slowest readers are cut until the blocked answers fit, and answers that aren't blocked are never cut", async () => {
    add("free", 4 * MB, 0, false);
    add("fast", 4 * MB, 1_000, true);
    add("slow", 4 * MB, 10, true);
    add("slowest", 4 * MB, 1, true);
    await clock.run(400);
    assert.equal(closed, []);
    await clock.run(300);
    assert.equal(closed, ["slowest"]);
    assert.is(budget.getHeld(MemoryKind.UnreadAnswer), 12 * MB);
});

test("nothing is cut within the limit, and a removed answer holds nothing", async () => {
    const remove = add("slow", 8 * MB, 0, true);
    await clock.run(60_000);
    assert.equal(closed, []);
    remove();
    remove();
    assert.is(budget.getHeld(MemoryKind.UnreadAnswer), 0);
});

test.run();

function add(requestId: string, bytes: number, sentBytes: number, isBlocked: boolean): () => void {
    return answers.add({
        requestId,
        bytes,
        isBlocked: () => isBlocked,
        getSentBytes: () => sentBytes,
        close: () => closed.push(requestId),
    });
}
