import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { AddressBook } from "../../src/load/AddressBook.js";
import { AttemptKind } from "../../src/load/AttemptKind.js";
import { Caller } from "../../src/load/Caller.js";
import type { CallerResult } from "../../src/load/CallerResult.js";
import type { OrderRoute } from "../../src/load/OrderRoute.js";
import { RequestKind } from "../../src/load/RequestKind.js";
import { ResultKind } from "../../src/load/ResultKind.js";
import { SeededRandom } from "../../src/random/index.js";
import { FakeTransport } from "./FakeTransport.js";

const experiment = { answerTimeoutMs: 1_000, resends: 3, resendDelayMs: 100 };
const lost = { kind: AttemptKind.Lost, detail: "ECONNRESET" } as const;
const notOpened = { kind: AttemptKind.NotOpened } as const;

let transport: FakeTransport;

test.before.each(() => {
    transport = new FakeTransport();
});

test("an order carries the prefix of the host that it goes to", async () => {
    const { result } = await run(RequestKind.Order);
    const [sent] = transport.sent;
    const prefix = sent!.url.endsWith("1") ? "p1" : "p2";
    assert.is(sent!.headers["idempotency-key"], `${prefix}.r1-0`);
    assert.is(sent!.headers["authorization"], "Bearer id.secret");
    assert.equal([result.kind, result.isWrong, result.attempts], [ResultKind.Done, false, 1]);
});

test("an order whose connection can't be opened gets a new key under the other host's prefix", async () => {
    transport.script.push(notOpened);
    const { result } = await run(RequestKind.Order);
    const [first, second] = transport.sent;
    assert.not.equal(first!.url, second!.url);
    assert.not.equal(getPrefix(0), getPrefix(1));
    assert.is(result.kind, ResultKind.Done);
});

test("an order whose answer is lost is sent again with the same key, also at another host", async () => {
    transport.script.push(lost, notOpened);
    const { result } = await run(RequestKind.Order);
    const keys = new Set(transport.sent.map(sent => sent.headers["idempotency-key"]));
    assert.is(keys.size, 1);
    assert.is(transport.sent[0]!.url, transport.sent[1]!.url);
    assert.not.equal(transport.sent[1]!.url, transport.sent[2]!.url);
    assert.equal([result.kind, result.attempts], [ResultKind.Done, 3]);
});

test("an order refused by a stopping host goes elsewhere, one with an unknown outcome does not", async () => {
    transport.script.push(FakeTransport.createAnswer("not-run", { reason: "host-stopping" }, 503));
    transport.script.push(FakeTransport.createAnswer("unknown", { reason: "host-gone" }, 502));
    const { result } = await run(RequestKind.Order);
    assert.is(transport.sent.length, 2);
    assert.equal([result.kind, result.reason], [ResultKind.Unknown, "host-gone"]);
});

test("an order that still runs is asked for again with the same key", async () => {
    transport.script.push(FakeTransport.createAnswer("unknown", { reason: "still-running" }, 409));
    const { result } = await run(RequestKind.Order);
    assert.is(getPrefix(0), getPrefix(1));
    assert.is(result.kind, ResultKind.Done);
});

test("a refusal is final", async () => {
    transport.script.push(FakeTransport.createAnswer("not-run", { reason: "rate-exceeded" }, 429));
    const { result } = await run(RequestKind.Lookup);
    assert.equal([result.kind, result.reason, result.attempts], [ResultKind.Refused, "rate-exceeded", 1]);
});

test("a refused lookup of addresses refuses the request", async () => {
    transport.lookup = { status: 401, body: JSON.stringify({ reason: "withdrawn-key" }) };
    const { result } = await run(RequestKind.Lookup);
    assert.equal([result.kind, result.reason], [ResultKind.Refused, "withdrawn-key"]);
});

test("an answer to another request is wrong", async () => {
    transport.script.push(FakeTransport.createAnswer("done", { path: "/other?ref=r0" }));
    assert.is((await run(RequestKind.Lookup)).result.isWrong, true);
});

test("a request without an answer fails after all attempts", async () => {
    transport.script.push(lost, lost, lost, lost);
    const { result } = await run(RequestKind.Lookup);
    assert.equal([result.kind, result.reason, result.attempts], [ResultKind.Failed, "lost", 4]);
    assert.is(result.mayHaveRunBefore, true);
});

test("a repeated order keeps its route and key", async () => {
    const first = await run(RequestKind.Order);
    await run(RequestKind.Order, first.route);
    assert.is(transport.sent[0]!.headers["idempotency-key"], transport.sent[1]!.headers["idempotency-key"]);
    assert.is(transport.sent[0]!.url, transport.sent[1]!.url);
});

test.run();

function getPrefix(index: number): string {
    return transport.sent[index]!.headers["idempotency-key"]!.split(".")[0]!;
}

async function run(kind: RequestKind, repeatedRoute?: OrderRoute): Promise<CallerResult> {
    const clock = new FakeClock();
    const random = new SeededRandom(1);
    const key = "id.secret";
    const book = new AddressBook({ clock, random, transport, entries: ["http://127.0.0.1:1"], key, timeoutMs: 1_000 });
    const caller = new Caller({ account: "a", key, book, transport, clock, random, experiment });
    const item = { kind, path: "/x", weight: 1, resendShare: 0, headers: {}, bodyBytes: 0 };
    const work = caller.run({
        item,
        reference: "r1",
        dueAt: clock.getTime(),
        ...(repeatedRoute === undefined ? {} : { repeatedRoute }),
    });
    await clock.run(10_000);
    return await work;
}
