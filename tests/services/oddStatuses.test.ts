import type { Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind, UnknownReason } from "../../src/outcomes/index.js";
import { HttpUpstreamTransport, UpstreamAnswerKind } from "../../src/services/index.js";
import type { UpstreamAnswer } from "../../src/services/index.js";
import { SystemClock } from "../../src/time/index.js";
import { createServiceRequest } from "../support/createServiceRequest.js";
import { RawBench } from "../support/RawBench.js";
import { RawUpstream } from "../support/RawUpstream.js";

/** Far above all expected times; only an exchange that waits for more bytes reaches it. */
const TIME_LIMIT_MS = 10_000;
const POLL_MS = 5;
/** First lines of what is no answer, and what the detail tells of them. */
const INVALID_LINES: readonly (readonly [line: string, detail: string])[] = [
    ...["000", "001", "099", "100", "101", "102", "103", "150", "199", "600", "700", "999"].map(status =>
        [`HTTP/1.1 ${status} Odd`, `status ${status}`] as const
    ),
    ["HTTP/1.1 600", "status 600"],
    ["HTTP/1.1 1000 Odd", "\"0 Odd\""],
    ["HTTP/1.1 2x0 Odd", "\"x0 Odd\""],
    ["HTTP/1.1 -01 Odd", "\"-01 Odd\""],
    ["HTTP/1.1 00 Odd", "status"],
    ["HTTP/1.1 ", "status"],
    ["HTTP/1.1", "version"],
    ["HTTP/1.0 600 Odd", "status 600"],
    ["HTTP/9.9 200 OK", "version"],
    ["200 OK", "HTTP/"],
];
const BODIES = ["", "hello"];
const NOT_RUN_FIELDS = ["", "x-request-not-run: 1\r\n"];

const clock = new SystemClock();
const test = suite("odd statuses");
let upstream: RawUpstream;
let transport: HttpUpstreamTransport;
let nextId = 0;

test.before.each(async () => {
    upstream = new RawUpstream();
    await upstream.start();
    transport = new HttpUpstreamTransport(clock);
});

test.after.each(() => {
    transport.close();
    upstream.stop();
});

// Guards against an answer with status 600 or 999 that reached the caller, and one with 199 that held the request until its limit.
test("what is no answer in HTTP is never taken for one, and its connection isn't used again", async () => {
    for (const [line, detail] of INVALID_LINES) {
        for (const [body, fields, isReused, isIdempotent] of createCases()) {
            const name = JSON.stringify({ line, body, fields, isReused, isIdempotent });
            transport.closeIdle(upstream.getUpstream());
            if (isReused) {
                assert.is((await send("HTTP/1.1 200 OK")).kind, UpstreamAnswerKind.Answered, name);
            }
            const sent = upstream.requests.length;
            const answer = await send(line, body, fields, isIdempotent);
            assert.ok(answer.kind === UpstreamAnswerKind.Invalid, `${answer.kind} ${name}`);
            assert.ok(answer.detail.includes(detail), `${answer.detail} ${name}`);
            assert.is(upstream.requests.length, sent + 1, name);
            assert.is(transport.getConnectionCount(upstream.getUpstream()), 0, name);
        }
    }
    await waitUntilClosed();
});

test("two heads at once, the first of which is no answer, are no answer", async () => {
    for (const line of ["HTTP/1.1 600 Odd", "HTTP/1.1 199 Odd"]) {
        upstream.listener = (socket, head) => {
            socket.write(formatAnswer(head, line) + formatAnswer(head, "HTTP/1.1 200 OK"));
        };
        assert.is((await runExchange()).kind, UpstreamAnswerKind.Invalid, line);
    }
    await waitUntilClosed();
});

test("interim answers come before the answer, whatever their status and number", async () => {
    const interim = ["102", "103", "199", "150", "103"].map(status => `HTTP/1.1 ${status} Wait\r\nlink: x\r\n\r\n`);
    for (const isAtOnce of [true, false]) {
        upstream.listener = (socket, head) => {
            const parts = [...interim, formatAnswer(head, "HTTP/1.1 200 OK", "whole")];
            void sendParts(socket, isAtOnce ? [parts.join("")] : parts);
        };
        const answer = await runExchange();
        assert.ok(answer.kind === UpstreamAnswerKind.Answered && answer.status === 200);
        assert.is(Buffer.concat(await answer.body.toArray() as Buffer[]).toString(), "whole");
    }
    assert.is(upstream.sockets.length, 1);
});

test("an interim answer after which the connection ends is a lost connection at once", async () => {
    const ends: ((socket: Socket) => void)[] = [socket => socket.end(), socket => socket.resetAndDestroy()];
    for (const end of ends) {
        upstream.listener = socket => socket.write("HTTP/1.1 199 Odd\r\n\r\n", () => end(socket));
        assert.is((await runExchange()).kind, UpstreamAnswerKind.ConnectionLost);
    }
});

test("all final statuses are answers, with or without a reason, also of HTTP/1.0", async () => {
    for (let status = 200; status <= 599; status++) {
        for (const line of [`HTTP/1.1 ${status} Odd`, `HTTP/1.1 ${status} `, `HTTP/1.1 ${status}`]) {
            const answer = await send(line);
            assert.ok(answer.kind === UpstreamAnswerKind.Answered && answer.status === status, line);
        }
    }
    assert.is(upstream.sockets.length, 1);
    assert.is((await send("HTTP/1.0 200 OK")).kind, UpstreamAnswerKind.Answered);
    assert.is((await send("HTTP/1.1 200 OK")).kind, UpstreamAnswerKind.Answered);
    assert.is(upstream.sockets.length, 2);
});

test("trailers change neither the status nor what is known of the run", async () => {
    for (const part of ["status: 600", "x-request-not-run: 1", "x-request-id: other"]) {
        upstream.listener = (socket, head) => {
            const fields = `x-request-id: ${findId(head)}\r\ntransfer-encoding: chunked\r\n`;
            socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n5\r\nwhole\r\n0\r\n${part}\r\n\r\n`);
        };
        const answer = await runExchange(false);
        assert.ok(answer.kind === UpstreamAnswerKind.Answered && answer.status === 200, part);
        assert.is(Buffer.concat(await answer.body.toArray() as Buffer[]).toString(), "whole", part);
    }
});

// Guards against requests in quarantine for answers that their upstreams garble.
test("an odd status is evidence against its upstream, no crash, and leaves an order unknown", async () => {
    for (const [line] of INVALID_LINES) {
        for (const isIdempotent of [false, true]) {
            const bench = new RawBench();
            await bench.start();
            try {
                const [raw] = bench.upstreams;
                raw!.listener = (socket, head) => {
                    socket.write(formatAnswer(head, line, "", "x-request-not-run: 1\r\n"));
                };
                const answer = await bench.run({ isIdempotent });
                const { outcome } = answer;
                const isUnknown = outcome.kind === OutcomeKind.Unknown &&
                    outcome.reason === UnknownReason.InvalidAnswer;
                assert.ok(isUnknown, `${JSON.stringify(outcome)} ${line}`);
                assert.not(answer.isCrashSuspected, line);
                const [status] = bench.host.getStatus();
                assert.ok(status!.errorEvidence > 0, line);
                assert.equal(await bench.waitForEnd(), { running: 0, open: 0 });
                assert.is(raw!.requests.length, 1, line);
            }
            finally {
                bench.stop();
            }
        }
    }
});

test.run();

function createCases(): readonly (readonly [body: string, fields: string, isReused: boolean, isIdempotent: boolean])[] {
    return BODIES.flatMap(body =>
        NOT_RUN_FIELDS.flatMap(fields =>
            [false, true].flatMap(isReused =>
                [false, true].map(isIdempotent => [body, fields, isReused, isIdempotent] as const)
            )
        )
    );
}

async function send(line: string, body = "", fields = "", isIdempotent = true): Promise<UpstreamAnswer> {
    upstream.listener = (socket, head) => {
        socket.write(formatAnswer(head, line, body, fields));
    };
    const answer = await runExchange(isIdempotent);
    if (answer.kind === UpstreamAnswerKind.Answered) {
        await answer.body.toArray();
    }
    return answer;
}

function runExchange(isIdempotent = true): Promise<UpstreamAnswer> {
    const request = createServiceRequest({ requestId: `r${nextId++}`, isIdempotent });
    return transport.send(upstream.getUpstream(), request, {
        firstByteTimeoutMs: TIME_LIMIT_MS,
        answerTimeoutMs: TIME_LIMIT_MS,
        deadlineMs: TIME_LIMIT_MS,
        freshConnection: false,
        signal: new AbortController().signal,
    });
}

async function sendParts(socket: Socket, parts: readonly string[]): Promise<void> {
    for (const part of parts) {
        socket.write(part);
        await clock.wait(POLL_MS);
    }
}

function formatAnswer(head: string, line: string, body = "", fields = ""): string {
    return `${line}\r\nx-request-id: ${findId(head)}\r\n${fields}content-length: ${body.length}\r\n\r\n${body}`;
}

function findId(head: string): string {
    return /^x-request-id: (.*)$/im.exec(head)?.[1]?.trim() ?? "";
}

async function waitUntilClosed(): Promise<void> {
    const end = clock.getTime() + TIME_LIMIT_MS;
    while (upstream.getOpenCount() > 0 && clock.getTime() < end) {
        await clock.wait(POLL_MS);
    }
    assert.is(upstream.getOpenCount(), 0);
}
