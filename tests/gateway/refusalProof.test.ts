import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkRefusalProof } from "../../src/gateway/checkRefusalProof.js";
import { createNotRun, OutcomeKind, RefusalReason, UnknownReason } from "../../src/outcomes/index.js";
import type { DoneOutcome, FinalStatus } from "../../src/outcomes/index.js";

const NOT_RUN_STATUSES = new Set([408, 429, 503]);

// Guards against REFUSED (review/10): the status of an upstream's answer was taken for the proof that an order had not run.
test("an answer whose status means not run is an unknown outcome, and its body is closed", () => {
    for (const status of [408, 429, 503] as const) {
        const answer = createAnswer(status);
        const outcome = checkRefusalProof(answer, NOT_RUN_STATUSES);
        assert.ok(outcome.kind === OutcomeKind.Unknown && outcome.reason === UnknownReason.UnprovenRefusal);
        assert.ok(outcome.detail.includes(String(status)));
        assert.ok(answer.body.destroyed);
    }
});

test("all other outcomes are left as they are", () => {
    for (const status of [200, 404, 500, 504] as const) {
        const answer = createAnswer(status);
        assert.is(checkRefusalProof(answer, NOT_RUN_STATUSES), answer);
        assert.not(answer.body.destroyed);
    }
    const refusal = createNotRun(RefusalReason.Overloaded, "");
    assert.is(checkRefusalProof(refusal, NOT_RUN_STATUSES), refusal);
});

test.run();

function createAnswer(status: FinalStatus): DoneOutcome {
    return { kind: OutcomeKind.Done, status, headers: {}, body: Readable.from([Buffer.from("x")]) };
}
