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

test("answers come whole over one connection that is kept", async () => {
    for (let index = 0; index < 5; index++) {
        assert.is(await readAnswer(await send()), "whole");
    }
    assert.is(sockets.length, 1);
});

test("no header of the caller's that carries its key or the connection reaches the upstream", async () => {
    const headers = { authorization: "Bearer secret", connection: "close", "x-account": "other", accept: "text/plain" };
    await readAnswer(await send({ headers }));
    const seen = requests[0]!.headers;
    assert.not(JSON.stringify(requests[0]!.rawHeaders).includes("secret"));
    assert.is(seen.connection, "keep-alive");
    assert.is(seen.accept, "text/plain");
    assert.equal([seen["x-account"], seen["x-request-id"], seen["x-deadline-ms"]], ["shop", "r1", "1000"]);
});

test("a refused connection is known not to have sent anything", async () => {
    server.close();
    await once(server, "close");
    assert.is((await send({ isIdempotent: false })).kind, UpstreamAnswerKind.ConnectFailed);
});

test("only a shed that says so is taken as not run", async () => {
    listener = (_, response) => response.writeHead(503, { "x-request-not-run": "1", "retry-after": "2" }).end();
    assert.equal(await send(), { kind: UpstreamAnswerKind.Shed, retryAfterMs: 2_000 });
    listener = (_, response) => response.writeHead(503).end();
    assert.is((await send()).kind, UpstreamAnswerKind.Answered);
});

test("where an answer may end with its connection, a reset still makes it a cut", async () => {
    const protocol = new ProductUpstreamProtocol();
    Object.assign(protocol, { hasUnmarkedEnds: true });
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

test("a cut answer ends as a cut, however its length is given", async () => {
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

test("an answer whose end only the closed connection marks is not taken as whole", async () => {
    listener = (_, response) => response.socket?.end("HTTP/1.1 200 OK\r\n\r\npart");
    const answer = await send();
    assert.ok(answer.kind === UpstreamAnswerKind.Answered);
    assert.instance(await answer.body.toArray().catch((reason: Error) => reason), TruncatedAnswerError);
});

test("a late answer reaches no other request: its connection is never used again", async () => {
    const late: (() => void)[] = [];
    listener = (request, response) => {
        const sendId = (): void => void response.end(String(request.headers["x-request-id"]));
        if (request.headers["x-request-id"] === "late") {
            late.push(sendId);
            return;
        }
        sendId();
    };
    const timedOut = await send({ requestId: "late" }, { firstByteTimeoutMs: 30 });
    assert.is(timedOut.kind, UpstreamAnswerKind.TimedOut);
    const next = send({ requestId: "next" });
    late.forEach(sendId => sendId());
    assert.is(await readAnswer(await next), "next");
    assert.is(sockets.length, 2);
});

test("a connection lost after the request was sent is not called not run", async () => {
    listener = request => request.socket.destroy();
    const answer = await send({ isIdempotent: false }, { freshConnection: true });
    assert.is(answer.kind, UpstreamAnswerKind.ConnectionLost);
    assert.is(requests.length, 1);
});

test("a server that closes kept connections while orders are sent gets each order once, or none known as unsent", async () => {
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

test("a request that is aborted closes its connection, and one aborted before is never sent", async () => {
    listener = () => {};
    const controller = new AbortController();
    const answer = send({}, { signal: controller.signal });
    await once(server, "request");
    controller.abort();
    assert.is((await answer).kind, UpstreamAnswerKind.Aborted);
    assert.is((await send({}, { signal: controller.signal })).kind, UpstreamAnswerKind.ConnectFailed);
    assert.is(requests.length, 1);
});

test("a large answer waits for its reader and is never held whole", async () => {
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

test("an answer that is not whole in time ends as a cut, or as unread if it waits for its reader", async () => {
    listener = (_, response) => response.writeHead(200, { "content-length": "9" }).write("part");
    const slow = await send({}, { answerTimeoutMs: 200 });
    assert.instance(await readAnswer(slow).catch((error: unknown) => error), TruncatedAnswerError);
    listener = (_, response) => response.writeHead(200, { "content-length": String(LARGE_BYTES) }).write(CHUNK);
    const unread = await send({}, { answerTimeoutMs: 200 });
    assert.ok(unread.kind === UpstreamAnswerKind.Answered);
    const [error] = await once(unread.body, "error") as [Error];
    assert.instance(error, SlowReaderError);
});

test("no more connections are opened than the upstream accepts", async () => {
    listener = () => {};
    const waiting = [send(), send(), send()];
    assert.is((await send()).kind, UpstreamAnswerKind.ConnectFailed);
    transport.close();
    await Promise.all(waiting);
});

test("closing idle connections leaves none that may be silent", async () => {
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
