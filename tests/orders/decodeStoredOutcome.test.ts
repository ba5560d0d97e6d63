import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeStoredOutcome } from "../../src/orders/decodeStoredOutcome.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { readBody } from "../../src/utils/index.js";

const MAX_BYTES = 10_000;

test("a resend gets the complete stored answer", async () => {
    const body = Buffer.from("ordered").toString("base64");
    const outcome = decodeStoredOutcome({ kind: OutcomeKind.Done, status: 201, headers: { "x-a": "1" }, body });
    assert.equal(await getSummary(outcome), [201, "ordered"]);
});

test("a truncated answer is not returned as a complete empty one", async () => {
    const outcome = decodeStoredOutcome({ kind: OutcomeKind.Done, status: 201, headers: { "content-length": "7" } });
    const [status, body] = await getSummary(outcome);
    const { outcome: kind, reason, upstreamStatus } = JSON.parse(body) as Record<string, unknown>;
    assert.equal([status, kind, reason, upstreamStatus], [502, "done", "answer-not-kept", 201]);
});

test.run();

async function getSummary(outcome: Outcome): Promise<[number, string]> {
    if (outcome.kind !== OutcomeKind.Done) {
        throw new Error(`The outcome is ${outcome.kind}.`);
    }
    return [outcome.status, String(await readBody(outcome.body, MAX_BYTES))];
}
