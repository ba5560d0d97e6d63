import { test } from "uvu";
import * as assert from "uvu/assert";
import { SeededRandom } from "../../src/random/index.js";

test("equal seeds give equal sequences of numbers from 0 up to but not including 1", () => {
    const first = getNumbers(7);
    assert.equal(first, getNumbers(7));
    assert.not.equal(first, getNumbers(8));
    assert.ok(first.every(number => number >= 0 && number < 1));
});

test.run();

function getNumbers(seed: number): number[] {
    const random = new SeededRandom(seed);
    return Array.from({ length: 100 }, () => random.getNext());
}
