import { Readable } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { SystemClock } from "../../src/time/index.js";
import { PipelineBench } from "../support/PipelineBench.js";

/** A caller's requests are cancelled within this time of its leaving, in milliseconds. */
const CANCEL_MS = 500;
const MANY = 200;
/** Node reads a connection in parts of this length, in bytes; one part may be read beyond the limit of requests. */
const READ_BYTES = 64 * 1024;
const SENT_BYTES = 200 * READ_BYTES;

const clock = new SystemClock();
const test = suite("requests that are sent ahead");
let bench: PipelineBench;

test.before.each(async () => {
    bench = new PipelineBench();
    await bench.start();
});

test.after.each(() => bench.stop());

test("responses are sent in the order of the requests, each with its own body", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/2", "/3"));
    for (const path of ["/3", "/2", "/1"]) {
        await bench.sendOutcome(path);
    }
    await bench.waitUntil(() => getBodies(caller.received).length === 3);
    assert.equal(getBodies(caller.received), ["/1", "/2", "/3"]);
    assert.not(caller.isClosed);
});

test("a caller that leaves cancels all of its requests", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/2", "/3"));
    await bench.waitUntil(() => bench.started.length === 3);
    caller.socket.destroy();
    await clock.wait(CANCEL_MS);
    assert.equal(bench.cancelled.sort(), ["/1", "/2", "/3"]);
});

test("a caller that leaves before its turn releases the answer that is ready", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/2"));
    const body = new Readable({ read: () => {} });
    await bench.sendOutcome("/2", { kind: OutcomeKind.Done, status: 200, headers: {}, body });
    caller.socket.destroy();
    await bench.waitUntil(() => body.destroyed);
});

test("a planned stop answers each request that was passed on, and the last answer closes the connection", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/2", "/3"));
    await bench.waitUntil(() => bench.started.length === 3);
    bench.listener.drain();
    const stopped = bench.listener.stop();
    for (const path of ["/1", "/2", "/3"]) {
        await bench.sendOutcome(path);
    }
    await bench.waitUntil(() => caller.isClosed);
    await stopped;
    assert.equal(getBodies(caller.received), ["/1", "/2", "/3"]);
    assert.equal(getCloses(caller.received), [false, false, true]);
});

test("a planned stop answers each request that was read, also those that had not been passed on when it began", async () => {
    const paths = ["/order1", "/order2", "/1", "/2", "/3", "/4", "/5", "/order3"];
    const caller = await bench.open();
    caller.socket.write(createGets(...paths));
    await bench.waitUntil(() => bench.started.length === 1 && bench.decodedCount === paths.length);
    bench.listener.drain();
    const stopped = bench.listener.stop();
    for (const path of paths) {
        await bench.sendOutcome(path);
    }
    await bench.waitUntil(() => caller.isClosed);
    await stopped;
    assert.equal(getBodies(caller.received), paths);
    assert.equal(getCloses(caller.received), paths.map((_, index) => index === paths.length - 1));
});

test("during a planned stop, requests are read and answered until an answer says that the connection closes", async () => {
    const caller = await bench.open();
    bench.listener.drain();
    caller.socket.write(createGets("/1", "/2"));
    await bench.waitUntil(() => bench.started.length === 2);
    caller.socket.write(createGets("/order"));
    await bench.waitUntil(() => bench.decodedCount === 3);
    const body = new Readable({ read: () => {} });
    body.push("part");
    await bench.sendOutcome("/1");
    await bench.sendOutcome("/2");
    await bench.sendOutcome("/order", {
        kind: OutcomeKind.Done,
        status: 200,
        headers: { "content-length": "8" },
        body,
    });
    await bench.waitUntil(() => caller.received.endsWith("part"));
    caller.socket.write(createGets("/late"));
    await clock.wait(50);
    body.push(" end");
    body.push(null);
    await bench.waitUntil(() => caller.isClosed);
    assert.equal(getBodies(caller.received), ["/1", "/2", "part end"]);
    assert.equal(getCloses(caller.received), [false, false, true]);
    assert.equal([bench.started.includes("/late"), bench.decodedCount], [false, 3]);
});

test("a planned stop answers more requests sent ahead than a connection keeps", async () => {
    const caller = await bench.open();
    const gets = Array.from({ length: MANY }, (_, index) => `/${index}`);
    caller.socket.write(createGets(...gets));
    await bench.waitUntil(() => bench.started.length === 4);
    bench.listener.drain();
    for (const path of gets) {
        await bench.sendOutcome(path);
    }
    await bench.waitUntil(() => caller.isClosed);
    assert.equal(getBodies(caller.received), gets);
});

test("a planned stop answers a request whose body is still coming when it begins", async () => {
    const caller = await bench.open();
    caller.socket.write(`${createGets("/1")}POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc`);
    await bench.waitUntil(() => bench.decodedCount === 2);
    bench.listener.drain();
    await bench.sendOutcome("/1");
    await bench.waitUntil(() => getBodies(caller.received).length === 1);
    caller.socket.write("def");
    await bench.sendOutcome("/order");
    await bench.waitUntil(() => caller.isClosed);
    assert.equal(getBodies(caller.received), ["/1", "/order"]);
    assert.equal(getCloses(caller.received), [false, true]);
});

test("a listener that stops reads no more requests, and answers those that it has read", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/order"));
    await bench.waitUntil(() => bench.decodedCount === 2);
    const stopped = bench.listener.stop();
    caller.socket.write(createGets("/late"));
    await clock.wait(50);
    await bench.sendOutcome("/1");
    await bench.sendOutcome("/order");
    await bench.waitUntil(() => caller.isClosed);
    await stopped;
    assert.equal([getBodies(caller.received), bench.decodedCount], [["/1", "/order"], 2]);
    assert.equal(getCloses(caller.received), [false, true]);
});

test("a listener that stops reads the rest of a body that has begun", async () => {
    const caller = await bench.open();
    caller.socket.write("POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc");
    await bench.waitUntil(() => bench.decodedCount === 1);
    const stopped = bench.listener.stop();
    await clock.wait(50);
    caller.socket.write("def");
    await bench.sendOutcome("/order");
    await stopped;
    await bench.waitUntil(() => caller.isClosed);
    assert.equal(getBodies(caller.received), ["/order"]);
});

test("during a planned stop, bytes that are no request are refused after the answers to the requests before them", async () => {
    const caller = await bench.open();
    caller.socket.write(`${createGets("/1", "/order")}no request\r\n\r\n`);
    await bench.waitUntil(() => bench.started.length === 1);
    bench.listener.drain();
    await bench.sendOutcome("/1");
    await bench.sendOutcome("/order");
    await bench.waitUntil(() => caller.isClosed);
    assert.match(caller.received, /\/1HTTP\/1\.1 200 OK[\s\S]*\/orderHTTP\/1\.1 400 Bad Request/);
});

test("a caller that never closes its connection doesn't hold up a planned stop", async () => {
    const callers = [await bench.open(), await bench.open()];
    callers.forEach(({ socket }) => socket.allowHalfOpen = true);
    callers[0]!.socket.write(createGets("/1"));
    callers[1]!.socket.write(`${createGets("/2")}no request\r\n\r\n`);
    await bench.waitUntil(() => bench.started.length === 2);
    let isStopped = false;
    const stopped = bench.listener.stop().then(() => isStopped = true);
    await bench.sendOutcome("/1");
    await bench.sendOutcome("/2");
    await bench.waitUntil(() => isStopped);
    await stopped;
    callers.forEach(({ socket }) => socket.destroy());
    assert.equal(callers.map(({ received }) => getBodies(received)), [["/1"], ["/2", ""]]);
});

test("requests that are still sent to a closing connection don't cut its last answer", async () => {
    const caller = await bench.open();
    bench.listener.drain();
    caller.socket.write(createGets("/1"));
    const content = Buffer.alloc(SENT_BYTES, "x");
    const headers = { "content-length": String(content.length) };
    caller.socket.pause();
    await bench.sendOutcome("/1", { kind: OutcomeKind.Done, status: 200, headers, body: Readable.from([content]) });
    await clock.wait(50);
    for (let index = 0; index < 50; index++) {
        caller.socket.write(createGets("/late"));
        await clock.wait(2);
    }
    caller.socket.resume();
    await bench.waitUntil(() => caller.isClosed);
    assert.is(getBodies(caller.received)[0]?.length, content.length);
    assert.is(bench.decodedCount, 1);
});

test("a refused request keeps its place among the answers", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/malformed", "/2"));
    await bench.sendOutcome("/2");
    await bench.sendOutcome("/1");
    await bench.waitUntil(() => getBodies(caller.received).length === 3);
    assert.equal(getBodies(caller.received), ["/1", "malformed-request", "/2"]);
});

test("bytes that are no request are refused after the answers to the requests before them", async () => {
    const caller = await bench.open();
    caller.socket.write(`${createGets("/1")}no request\r\n\r\n`);
    await bench.waitUntil(() => bench.started.length === 1);
    await bench.sendOutcome("/1");
    await bench.waitUntil(() => caller.isClosed);
    assert.match(caller.received, /^HTTP\/1\.1 200 OK[\s\S]*\/1HTTP\/1\.1 400 Bad Request/);
});

test("a tunnel is refused after the answers to the requests before it", async () => {
    const caller = await bench.open();
    caller.socket.write(`${createGets("/1", "/order")}CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n`);
    await bench.waitUntil(() => bench.started.length === 1);
    await bench.sendOutcome("/1");
    await bench.sendOutcome("/order");
    await bench.waitUntil(() => caller.isClosed);
    assert.match(caller.received, /\/1HTTP\/1\.1 200 OK[\s\S]*\/orderHTTP\/1\.1 405 Method Not Allowed/);
});

test("an order behind other requests is passed on when those have been answered", async () => {
    const caller = await bench.open();
    caller.socket.write(`${createGets("/1")}POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc`);
    await bench.waitUntil(() => bench.started.length === 1);
    await clock.wait(50);
    assert.equal(bench.started, ["/1"]);
    await bench.sendOutcome("/1");
    await bench.sendOutcome("/order");
    await bench.waitUntil(() => getBodies(caller.received).length === 2);
    assert.equal(bench.started, ["/1", "/order"]);
});

test("a response that breaks off ends the connection, and no later response takes its place", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/2"));
    const body = new Readable({ read: () => {} });
    body.push("part");
    await bench.sendOutcome("/2");
    await bench.sendOutcome("/1", { kind: OutcomeKind.Done, status: 200, headers: { "content-length": "9" }, body });
    await bench.waitUntil(() => caller.received.endsWith("part"));
    body.destroy(new Error("cut"));
    await bench.waitUntil(() => caller.isClosed);
    assert.ok(caller.received.endsWith("part"));
});

test("a response that fails before its turn costs only itself", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1", "/2", "/3"));
    const body = new Readable({ read: () => {} });
    await bench.sendOutcome("/2", { kind: OutcomeKind.Done, status: 200, headers: {}, body });
    await bench.sendOutcome("/3");
    body.destroy(new Error("cut"));
    await clock.wait(20);
    await bench.sendOutcome("/1");
    await bench.waitUntil(() => getBodies(caller.received).length === 3);
    assert.equal(getBodies(caller.received), ["/1", "answer-cut", "/3"]);
});

test("a caller that sends ahead without reading has a bounded number of requests in progress", async () => {
    const caller = await bench.open();
    const gets = Array.from({ length: MANY }, (_, index) => `/${index}`);
    caller.socket.write(createGets(...gets));
    await clock.wait(200);
    assert.is(bench.started.length, 4);
    for (const path of gets) {
        await bench.sendOutcome(path);
    }
    await bench.waitUntil(() => getBodies(caller.received).length === MANY);
    assert.equal(getBodies(caller.received), gets);
});

test("a connection with many unanswered requests is not read", async () => {
    const caller = await bench.open();
    const text = createGets("/1").repeat(SENT_BYTES / createGets("/1").length);
    caller.socket.write(text);
    await clock.wait(300);
    assert.ok(caller.socket.writableLength > 0);
    const readBytes = bench.decodedCount * createGets("/1").length;
    assert.ok(readBytes <= 2 * READ_BYTES, `${readBytes} bytes were read`);
});

test("a response that can't be written closes its own connection only, and its error is reported", async () => {
    const errors: unknown[] = [];
    const record = (error: unknown): void => void errors.push(error);
    process.on("unhandledRejection", record);
    try {
        const [caller, other] = [await bench.open(), await bench.open()];
        caller.socket.write(createGets("/1"));
        other.socket.write(createGets("/2"));
        const headers = { "x-name": "\u0001" };
        await bench.sendOutcome("/1", { kind: OutcomeKind.Done, status: 200, headers, body: Readable.from([]) });
        await bench.waitUntil(() => caller.isClosed);
        await bench.sendOutcome("/2");
        await bench.waitUntil(() => getBodies(other.received).length === 1);
        assert.is(errors.length, 1);
    }
    finally {
        process.off("unhandledRejection", record);
    }
});

test("a request whose body is longer than allowed gets its refusal, not a closed connection", async () => {
    bench.maxBodyBytes = 1_000;
    const caller = await bench.open();
    const length = 300_000;
    caller.socket.write(`POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`);
    caller.socket.write("x".repeat(length));
    await bench.waitUntil(() => caller.received.endsWith("body-too-large"));
});

test("a stopping listener sends a response whose caller reads slowly to its end", async () => {
    const caller = await bench.open();
    caller.socket.write(createGets("/1"));
    const content = Buffer.alloc(8 * 1024 * 1024, "x");
    const headers = { "content-length": String(content.length) };
    caller.socket.pause();
    await bench.sendOutcome("/1", { kind: OutcomeKind.Done, status: 200, headers, body: Readable.from([content]) });
    await clock.wait(100);
    const stopped = bench.listener.stop();
    await clock.wait(100);
    caller.socket.resume();
    await stopped;
    await bench.waitUntil(() => caller.isClosed);
    assert.is(getBodies(caller.received)[0]?.length, content.length);
});

test.run();

function createGets(...paths: string[]): string {
    return paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join("");
}

function getAnswers(received: string): string[] {
    return received.split(/(?=HTTP\/1\.1 \d)/).filter(part => part !== "");
}

function getBodies(received: string): string[] {
    return getAnswers(received).filter(answer => answer.includes("\r\n\r\n")).map(answer =>
        answer.slice(answer.indexOf("\r\n\r\n") + 4)
    );
}

function getCloses(received: string): boolean[] {
    return getAnswers(received).map(answer => /^connection: close/im.test(answer));
}
