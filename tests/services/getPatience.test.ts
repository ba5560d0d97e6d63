import { test } from "uvu";
import * as assert from "uvu/assert";
import { getPatience } from "../../src/services/exchange/getPatience.js";

const USUAL_MS = 400;
const REMAINING_MS = 4_000;

test("an attempt of a request without another attempt lasts until its deadline", () => {
    assert.is(getPatience({ targetMs: 600 }, USUAL_MS, REMAINING_MS), undefined);
});

test("an attempt is overdue after a multiple of its route's usual time, or after its target time while that is unknown", () => {
    assert.is(getPatience({ hasOtherAttempt: true, targetMs: 600 }, USUAL_MS, REMAINING_MS), 1_000);
    assert.is(getPatience({ hasOtherAttempt: true, targetMs: 600 }, 2, REMAINING_MS), 200);
    assert.is(getPatience({ hasOtherAttempt: true, targetMs: 600 }, undefined, REMAINING_MS), 600);
    assert.is(getPatience({ hasOtherAttempt: true }, undefined, REMAINING_MS), undefined);
});

test("an attempt leaves time for another one before the deadline", () => {
    assert.is(getPatience({ hasOtherAttempt: true, targetMs: 600 }, USUAL_MS, 1_000), 600);
});

test.run();
