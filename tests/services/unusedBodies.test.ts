import { Readable } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createOutcome, OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { createCapturedBody } from "../../src/services/exchange/createCapturedBody.js";
import { RawBench } from "../support/RawBench.js";

const TIMEOUT_MS = 1_500;
const REQUESTS = 4;
/** What the system may hold of a connection on loopback that nobody reads, in bytes: 4 MB to send and 6 MB to receive. */
const MAX_SENT_BYTES = 10 * 1024 * 1024;
/** The documented bound and the chunk that passes it, in bytes. */
const MAX_READ_BYTES = 16 * 1024 + 64 * 1024;
const CHUNK = Buffer.alloc(64 * 1024);
const REFUSAL = "HTTP/1.1 503 Busy\r\nx-request-id: r1\r\nx-request-not-run: 1\r\n";

const test = suite("bodies that are of no use");

// Guards against refusals without an end that are read as fast as they come until the time for a first byte is over: 7.8 GB in 12 s.
for (
    const [name, head, part] of [
        ["in chunks", "transfer-encoding: chunked\r\n\r\n", `4000\r\n${"x".repeat(0x4000)}\r\n`],
        ["of a huge length", "content-length: 900000000000\r\n\r\n", "x".repeat(0x4000)],
    ] as const
) {
    test(`a refusal ${name} without an end is closed`, async () => {
        const bench = new RawBench();
        await bench.start();
        const [upstream] = bench.upstreams;
        upstream!.listener = socket => {
            socket.write(`${REFUSAL}${head}`, "latin1");
            upstream!.sendRepeatedly(socket, part, 0);
        };
        for (let index = 0; index < REQUESTS; index++) {
            upstream!.sentBytes = 0;
            const { outcome } = await bench.run({ isIdempotent: false, timeoutMs: TIMEOUT_MS, requestId: "r1" });
            assert.is(outcome.kind, OutcomeKind.NotRun);
            assert.equal(await bench.waitForEnd(), { running: 0, open: 0 });
            assert.ok(upstream!.sentBytes < MAX_SENT_BYTES, `${upstream!.sentBytes} bytes were sent`);
        }
        bench.stop();
    });
}

test("the connection of a short refusal is used again", async () => {
    const bench = new RawBench();
    await bench.start();
    const [upstream] = bench.upstreams;
    upstream!.listener = (socket, head) => {
        const id = /^x-request-id: (.*)$/im.exec(head)![1];
        const refusal = REFUSAL.replace("r1", id!);
        socket.write(`${refusal}content-length: 9000\r\n\r\n${"x".repeat(9_000)}`);
    };
    for (const requestId of ["r1", "r2", "r3"]) {
        assert.is((await bench.run({ requestId, isIdempotent: false })).outcome.kind, OutcomeKind.NotRun);
        await bench.clock.wait(200);
    }
    assert.is(upstream!.sockets.length, 1);
    bench.stop();
});

// Guards against an answer without an end that another host passes on beside a refusal.
test("what a peer sends beside a refusal is closed", async () => {
    const { body, getReadBytes } = createEndlessBody();
    createOutcome({ kind: OutcomeKind.NotRun, reason: RefusalReason.Overloaded, detail: "", retryAfterMs: 0 }, body);
    await waitForClose(body);
    assert.ok(getReadBytes() <= MAX_READ_BYTES, `${getReadBytes()} bytes were read`);
});

// Guards against an answer without an end that is read for a caller who has left.
test("the answer to an order whose caller has left is read no further than it is kept", async () => {
    const { body, getReadBytes } = createEndlessBody();
    const ends: (Buffer | undefined)[] = [];
    const caller = new AbortController();
    const captured = createCapturedBody(body, {
        maxBytes: 2 * CHUNK.length,
        signal: caller.signal,
        onEnd: whole => ends.push(whole),
    });
    captured.on("data", () => {});
    setTimeout(() => caller.abort(), 50);
    captured.once("data", () => captured.destroy());
    await waitForClose(body);
    assert.equal(ends, [undefined]);
    assert.ok(getReadBytes() <= 4 * CHUNK.length, `${getReadBytes()} bytes were read`);
});

test.run();

function createEndlessBody(): { body: Readable; getReadBytes: () => number; } {
    let readBytes = 0;
    const body = new Readable({
        read: () => {
            setImmediate(() => {
                if (!body.destroyed) {
                    readBytes += CHUNK.length;
                    body.push(CHUNK);
                }
            });
        },
    });
    return { body, getReadBytes: () => readBytes };
}

/** Waits until a body is closed; rejects after a while, as it would be read for ever. */
async function waitForClose(body: Readable): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        const timer = setTimeout(() => {
            body.destroy();
            reject(new Error("the body was not closed"));
        }, TIMEOUT_MS);
        body.once("close", () => {
            clearTimeout(timer);
            resolve();
        });
    });
}
