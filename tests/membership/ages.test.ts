import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AGE_STEP_MS } from "../../src/membership/AGE_STEP_MS.js";
import { decodeAges } from "../../src/membership/decodeAges.js";
import { encodeAges } from "../../src/membership/encodeAges.js";

const SEED = 1;
const MAX_AGE_US = 5_000_000;

test("a decoded age is never less than the encoded one, and greater by less than AGE_STEP_MS", () => {
    const age = fc.option(fc.integer({ min: 0, max: MAX_AGE_US }).map(age => age / 1_000), { nil: undefined });
    fc.assert(
        fc.property(fc.array(age), ages => {
            decodeAges(encodeAges(ages)).forEach((decoded, index) => {
                const sent = ages[index];
                assert.ok(decoded === undefined || sent !== undefined && decoded >= sent);
                assert.ok(decoded === undefined || decoded < sent! + AGE_STEP_MS);
            });
        }),
        { seed: SEED },
    );
});

test.run();
