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
const test = suite("answers that wait for their reader");
let upstream: RawUpstream;
let transport: HttpUpstreamTransport;
/** What would have ended the process. */
let faults: Error[] = [];

const recordFault = (error: Error): void => void faults.push(error);

test.before.each(async () => {
    faults = [];
    process.on("uncaughtException", recordFault);
    upstream = new RawUpstream();
    transport = new HttpUpstreamTransport(clock);
    await upstream.start();
});

test.after.each(() => {
    process.off("uncaughtException", recordFault);
    transport.close();
    upstream.stop();
});

test("a reset on a closing connection cuts the answer that waits for its reader and ends no process", async () => {
    assert.is(await readCutAnswer(100_000, socket => socket.resetAndDestroy()), "cut");
});

test("an end on a closing connection cuts the answer that waits for its reader and ends no process", async () => {
    assert.is(await readCutAnswer(100_000, socket => socket.end()), "cut");
});

test("a whole answer on a closing connection that ends before it is read comes whole", async () => {
    assert.is(await readCutAnswer(PART.length, socket => socket.end()), PART);
});

test.run();

/** Reads an answer only after its connection has ended; returns "cut" if it is not whole. */
async function readCutAnswer(length: number, end: (socket: Socket) => void): Promise<string> {
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
    assert.equal(faults.map(fault => fault.stack), []);
    return await answer.body.toArray().then(parts => Buffer.concat(parts).toString(), () => "cut");
}
