import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TruncatedAnswerError } from "../../src/errors/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { createNotRun, OutcomeKind, RefusalReason, UnknownReason } from "../../src/outcomes/index.js";
import { readBodyAhead } from "../../src/services/exchange/readBodyAhead.js";

const LIMIT_BYTES = 10;

function createOutcome(parts: readonly string[], error?: Error): Outcome {
    async function* readParts(): AsyncGenerator<Buffer> {
        for (const part of parts) {
            yield Buffer.from(part);
        }
        if (error !== undefined) {
            throw error;
        }
    }
    return {
        kind: OutcomeKind.Done,
        status: 200,
        headers: {},
        body: Readable.from(readParts(), { objectMode: false }),
    };
}

async function readText(outcome: Outcome): Promise<string> {
    assert.ok(outcome.kind === OutcomeKind.Done);
    return Buffer.concat(await outcome.body.toArray()).toString();
}

test("a small response and an empty one are returned whole", async () => {
    assert.is(await readText(await readBodyAhead(createOutcome(["ab", "cd"]), LIMIT_BYTES)), "abcd");
    assert.is(await readText(await readBodyAhead(createOutcome([]), LIMIT_BYTES)), "");
});

test("a response truncated within the limit is reported as cut, so that the request can be retried", async () => {
    const outcome = await readBodyAhead(createOutcome(["ab"], new TruncatedAnswerError("cut")), LIMIT_BYTES);
    assert.ok(outcome.kind === OutcomeKind.Unknown && outcome.reason === UnknownReason.AnswerCut);
});

test("a large response is streamed after its buffered start, and a later truncation is passed on", async () => {
    const parts = ["0123456", "789ab", "cdef"];
    assert.is(await readText(await readBodyAhead(createOutcome(parts), LIMIT_BYTES)), parts.join(""));
    const cut = await readBodyAhead(createOutcome(parts, new TruncatedAnswerError("cut")), LIMIT_BYTES);
    assert.instance(await readText(cut).catch((error: unknown) => error), TruncatedAnswerError);
});

test("destroying the stream during a read closes the upstream's response at once", async () => {
    const body = new Readable({ read: () => {} });
    body.push("0123456789ab");
    const outcome = await readBodyAhead({ ...createOutcome([]), body } as Outcome, LIMIT_BYTES);
    assert.ok(outcome.kind === OutcomeKind.Done);
    outcome.body.on("error", () => {}).resume();
    await new Promise(resolve => setImmediate(resolve));
    outcome.body.destroy();
    await new Promise(resolve => setImmediate(resolve));
    assert.ok(body.destroyed);
});

test("an abort while the start of an endless response is buffered closes the response", async () => {
    const body = new Readable({ read: () => {} });
    const controller = new AbortController();
    const opened = readBodyAhead({ ...createOutcome([]), body } as Outcome, LIMIT_BYTES, controller.signal);
    body.push("01");
    await new Promise(resolve => setImmediate(resolve));
    controller.abort();
    await new Promise(resolve => setImmediate(resolve));
    assert.ok(body.destroyed);
    assert.is((await opened).kind, OutcomeKind.Unknown);
});

test("an outcome without a response is returned unchanged", async () => {
    const refusal = createNotRun(RefusalReason.NoUpstream, "none");
    assert.is(await readBodyAhead(refusal, LIMIT_BYTES), refusal);
});

test.run();
