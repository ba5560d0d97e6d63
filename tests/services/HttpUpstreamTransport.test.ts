import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Upstream } from "../../src/configuration/index.js";
import { SlowReaderError, TruncatedAnswerError } from "../../src/errors/index.js";
import { HttpUpstreamTransport, ProductUpstreamProtocol, UpstreamAnswerKind } from "../../src/services/index.js";
import type { ServiceRequest, UpstreamAnswer, UpstreamSendOptions } from "../../src/services/index.js";
import { SystemClock } from "../../src/time/index.js";
import { createServiceRequest } from "../support/createServiceRequest.js";

const LARGE_BYTES = 64 * 1024 * 1024;
const CHUNK = Buffer.alloc(64 * 1024);

const test = suite("HttpUpstreamTransport");
let server: Server;
let listener: RequestListener;
let requests: IncomingMessage[];
let sockets: Socket[];
let transport: HttpUpstreamTransport;

test.before.each(async () => {
    requests = [];
    sockets = [];
    transport = new HttpUpstreamTransport(new SystemClock());
    listener = (_, response) => response.end("whole");
    server = createServer((request, response) => {
        requests.push(request);
        response.setHeader("x-request-id", String(request.headers["x-request-id"]));
        listener(request, response);
    });
    server.on("connection", socket => sockets.push(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
});

test.after.each(() => {
    transport.close();
    server.close();
    server.closeAllConnections();
});

test("complete responses arrive over one kept-alive connection", async () => {
    for (let index = 0; index < 5; index++) {
        assert.is(await readAnswer(await send()), "whole");
    }
    assert.is(sockets.length, 1);
});

test("a connection on which a response does not name its request is not used again", async () => {
    listener = (_, response) => {
        response.removeHeader("x-request-id");
        response.end("whole");
    };
    for (let index = 0; index < 2; index++) {
        assert.is(await readAnswer(await send()), "whole");
    }
    assert.is(sockets.length, 2);
});

test("header fields with the caller's key or about its connection do not reach the upstream", async () => {
    const headers = { authorization: "Bearer secret", connection: "close", "x-account": "other", accept: "text/plain" };
    await readAnswer(await send({ headers }));
    const received = requests[0]!.headers;
    assert.not(JSON.stringify(requests[0]!.rawHeaders).includes("secret"));
    assert.is(received.connection, "keep-alive");
    assert.is(received.accept, "text/plain");
    assert.equal([received["x-account"], received["x-request-id"], received["x-deadline-ms"]], ["shop", "r1", "1000"]);
});

test("a refused connection counts as failed before anything was sent", async () => {
    server.close();
    await once(server, "close");
    assert.is((await send({ isIdempotent: false })).kind, UpstreamAnswerKind.ConnectFailed);
});

test("a 503 counts as not run only with the header field that says so", async () => {
    const fields = { "x-request-not-run": "1", "retry-after": "2", "x-upstream-request-rate": "4" };
    listener = (_, response) => response.writeHead(503, fields).end();
    assert.equal(await send(), {
        kind: UpstreamAnswerKind.Shed,
        retryAfterMs: 2_000,
        notice: { requestRate: 4, isLeaving: false, retryAfterMs: 2_000 },
    });
    listener = (_, response) => response.writeHead(503).end();
    assert.is((await send()).kind, UpstreamAnswerKind.Answered);
});

test("a reset truncates a response even where bodies may be delimited by the close of the connection", async () => {
    const protocol = new ProductUpstreamProtocol();
    Object.assign(protocol, { hasCloseDelimitedBodies: true });
    transport.close();
    transport = new HttpUpstreamTransport(new SystemClock(), protocol);
    listener = (_, response) => response.socket!.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
    const whole = await send();
    sockets[0]!.end();
    assert.is(await readAnswer(whole), "part");
    const cut = await send();
    sockets[1]!.resetAndDestroy();
    assert.instance(await readAnswer(cut).catch((error: unknown) => error), TruncatedAnswerError);
});

test("a response that ends early fails as truncated, with a content length and with chunked encoding", async () => {
    const heads: Record<string, string>[] = [{ "content-length": "100" }, { "transfer-encoding": "chunked" }];
    for (const head of heads) {
        listener = (_, response) => {
            response.writeHead(200, head).write("part");
            setImmediate(() => response.socket?.destroy());
        };
        const answer = await send();
        assert.ok(answer.kind === UpstreamAnswerKind.Answered);
        const error = await answer.body.toArray().then(() => undefined, (reason: Error) => reason);
        assert.instance(error, TruncatedAnswerError);
    }
});

test("a response delimited only by the close of its connection does not count as complete", async () => {
    listener = (_, response) => response.socket?.end("HTTP/1.1 200 OK\r\n\r\npart");
    const answer = await send();
    assert.ok(answer.kind === UpstreamAnswerKind.Answered);
    assert.instance(await answer.body.toArray().catch((reason: Error) => reason), TruncatedAnswerError);
});

test("a late response reaches no other request, as its connection is not reused", async () => {
    const pendingSends: (() => void)[] = [];
    listener = (request, response) => {
        const sendId = (): void => void response.end(String(request.headers["x-request-id"]));
        if (request.headers["x-request-id"] === "late") {
            pendingSends.push(sendId);
            return;
        }
        sendId();
    };
    const timedOut = await send({ requestId: "late" }, { firstByteTimeoutMs: 30 });
    assert.is(timedOut.kind, UpstreamAnswerKind.TimedOut);
    const next = send({ requestId: "next" });
    pendingSends.forEach(sendId => sendId());
    assert.is(await readAnswer(await next), "next");
    assert.is(sockets.length, 2);
});

test("a connection lost after the request was sent is not reported as not run", async () => {
    listener = request => request.socket.destroy();
    const answer = await send({ isIdempotent: false }, { freshConnection: true });
    assert.is(answer.kind, UpstreamAnswerKind.ConnectionLost);
    assert.is(requests.length, 1);
});

test("an upstream that closes kept-alive connections receives each order at most once, and none reported as unsent", async () => {
    listener = (request, response) => {
        response.end("whole");
        setImmediate(() => request.socket.end());
    };
    const kinds = new Map<UpstreamAnswerKind, number>();
    for (let index = 0; index < 200; index++) {
        const answer = await send({ requestId: `o${index}`, isIdempotent: false }, { freshConnection: true });
        kinds.set(answer.kind, (kinds.get(answer.kind) ?? 0) + 1);
        if (answer.kind === UpstreamAnswerKind.Answered) {
            await answer.body.toArray();
        }
    }
    const ids = requests.map(request => request.headers["x-request-id"]);
    assert.is(new Set(ids).size, ids.length);
    assert.ok(ids.length >= (kinds.get(UpstreamAnswerKind.Answered) ?? 0));
    assert.ok(ids.length <= 200 - (kinds.get(UpstreamAnswerKind.ConnectFailed) ?? 0));
});

test("an aborted request ends as aborted, and one aborted before it starts is not sent", async () => {
    listener = () => {};
    const controller = new AbortController();
    const answer = send({}, { signal: controller.signal });
    await once(server, "request");
    controller.abort();
    assert.is((await answer).kind, UpstreamAnswerKind.Aborted);
    assert.is((await send({}, { signal: controller.signal })).kind, UpstreamAnswerKind.ConnectFailed);
    assert.is(requests.length, 1);
});

test("back-pressure from the reader keeps a large response from being buffered whole", async () => {
    let written = 0;
    listener = (_, response) => {
        response.writeHead(200, { "content-length": String(LARGE_BYTES) });
        const writeMore = (): void => {
            while (written < LARGE_BYTES) {
                written += CHUNK.length;
                if (!response.write(CHUNK)) {
                    response.once("drain", writeMore);
                    return;
                }
            }
            response.end();
        };
        writeMore();
    };
    const answer = await send();
    assert.ok(answer.kind === UpstreamAnswerKind.Answered);
    let last = -1;
    while (last !== written) {
        last = written;
        await new SystemClock().wait(100);
    }
    assert.ok(written < LARGE_BYTES / 2, `${written} bytes were written before any was read`);
    let bytes = 0;
    for await (const chunk of answer.body) {
        bytes += (chunk as Buffer).length;
    }
    assert.is(bytes, LARGE_BYTES);
});

test("an incomplete response at its timeout fails as truncated, or as unread if its reader has paused it", async () => {
    listener = (_, response) => response.writeHead(200, { "content-length": "9" }).write("part");
    const slow = await send({}, { answerTimeoutMs: 200 });
    assert.instance(await readAnswer(slow).catch((error: unknown) => error), TruncatedAnswerError);
    listener = (_, response) => response.writeHead(200, { "content-length": String(LARGE_BYTES) }).write(CHUNK);
    const unread = await send({}, { answerTimeoutMs: 200 });
    assert.ok(unread.kind === UpstreamAnswerKind.Answered);
    const [error] = await once(unread.body, "error") as [Error];
    assert.instance(error, SlowReaderError);
});

test("a reader that takes little at a time has kept a response waiting, also if it is not paused at its timeout", async () => {
    listener = (_, response) => response.writeHead(200, { "content-length": String(LARGE_BYTES) }).write(CHUNK);
    const slow = await send({}, { answerTimeoutMs: 400 });
    assert.ok(slow.kind === UpstreamAnswerKind.Answered);
    const failed = once(slow.body, "error") as Promise<[Error]>;
    await new SystemClock().wait(300);
    slow.body.resume();
    const [error] = await failed;
    assert.instance(error, SlowReaderError);
});

test("no more connections are opened than the upstream's limit", async () => {
    listener = () => {};
    const waiting = [send(), send(), send()];
    assert.is((await send()).kind, UpstreamAnswerKind.ConnectFailed);
    transport.close();
    await Promise.all(waiting);
});

test("after idle connections are closed, the next request opens a new one", async () => {
    await readAnswer(await send());
    transport.closeIdle(getUpstream());
    await readAnswer(await send());
    assert.is(sockets.length, 2);
});

test.run();

function getUpstream(): Upstream {
    const { port } = server.address() as AddressInfo ?? { port: 1 };
    return { name: "u0", address: `127.0.0.1:${port}`, zone: "a", slots: 2, connections: 3 };
}

async function send(
    request: Partial<ServiceRequest> = {},
    options: Partial<UpstreamSendOptions> = {},
): Promise<UpstreamAnswer> {
    return await transport.send(getUpstream(), createServiceRequest(request), {
        firstByteTimeoutMs: 5_000,
        deadlineMs: 1_000,
        freshConnection: false,
        signal: new AbortController().signal,
        ...options,
    });
}

async function readAnswer(answer: UpstreamAnswer): Promise<string> {
    assert.ok(answer.kind === UpstreamAnswerKind.Answered, answer.kind);
    return Buffer.concat(await answer.body.toArray()).toString();
}
