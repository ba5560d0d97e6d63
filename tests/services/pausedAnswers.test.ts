import type { Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { HttpUpstreamTransport, UpstreamAnswerKind } from "../../src/services/index.js";
import { SystemClock } from "../../src/time/index.js";
import { createServiceRequest } from "../support/createServiceRequest.js";
import { RawUpstream } from "../support/RawUpstream.js";

const PART = "x".repeat(40_000);
const WAIT_MS = 100;
const END_WAIT_MS = 300;

const clock = new SystemClock();
const test = suite("answers paused by their reader");
let upstream: RawUpstream;
let transport: HttpUpstreamTransport;
/** Uncaught exceptions, each of which would end the process. */
let uncaughtErrors: Error[] = [];

const recordUncaught = (error: Error): void => void uncaughtErrors.push(error);

test.before.each(async () => {
    uncaughtErrors = [];
    process.on("uncaughtException", recordUncaught);
    upstream = new RawUpstream();
    transport = new HttpUpstreamTransport(clock);
    await upstream.start();
});

test.after.each(() => {
    process.off("uncaughtException", recordUncaught);
    transport.close();
    upstream.stop();
});

test("a reset of a closing connection truncates a paused response and does not end the process", async () => {
    assert.is(await readAfterEnd(100_000, socket => socket.resetAndDestroy()), "cut");
});

test("the end of a closing connection truncates a paused response and does not end the process", async () => {
    assert.is(await readAfterEnd(100_000, socket => socket.end()), "cut");
});

test("a complete response is delivered whole if its connection ends before it is read", async () => {
    assert.is(await readAfterEnd(PART.length, socket => socket.end()), PART);
});

test.run();

/** Reads a response only after its connection has ended; returns "cut" if it is truncated. */
async function readAfterEnd(length: number, end: (socket: Socket) => void): Promise<string> {
    upstream.listener = socket => {
        socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${length}\r\n\r\n${PART}`, () => {
            setTimeout(() => end(socket), WAIT_MS);
        });
    };
    const answer = await transport.send(upstream.getUpstream(), createServiceRequest(), {
        firstByteTimeoutMs: 5_000,
        deadlineMs: 5_000,
        freshConnection: true,
        signal: new AbortController().signal,
    });
    assert.ok(answer.kind === UpstreamAnswerKind.Answered);
    answer.body.on("error", () => {});
    await clock.wait(END_WAIT_MS);
    assert.equal(uncaughtErrors.map(error => error.stack), []);
    return await answer.body.toArray().then(parts => Buffer.concat(parts).toString(), () => "cut");
}
