import { Readable } from "node:stream";
import { Client } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { CallerBench } from "../support/CallerBench.js";
import { checkSnapshot } from "../support/checkSnapshot.js";

const AUTHORIZED = "Authorization: Bearer KEY\r\nConnection: close\r\n";

let bench: CallerBench;

test.before.each(async () => {
    bench = new CallerBench();
    await bench.start();
});

test.after.each(() => bench.stop());

test("invalid requests are refused immediately with a 4xx status and never reach an account host", async () => {
    const answers: Record<string, string> = {};
    for (const [name, text] of Object.entries(getBadRequests())) {
        answers[name] = getSummary(await bench.send(text));
    }
    checkSnapshot("callers/bad-input", answers);
    assert.equal(bench.received, []);
});

test("the key and header fields that contain its secret are not forwarded", async () => {
    await bench.send(
        `GET /catalogue/1 HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}X-Copy: KEY\r\nCookie: a=b\r\nX-Account: shop-2\r\nX-Kept: 1\r\n\r\n`,
    );
    assert.is(bench.received.length, 1);
    assert.equal(bench.received[0]!.headers, { "x-kept": "1" });
    assert.is(JSON.stringify(bench.received[0]).includes(bench.secret), false);
});

test("a request with the secret in its path or body is refused", async () => {
    const inPath = await bench.send(`GET /catalogue?key=KEY HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}\r\n`);
    const body = `x=${bench.secret}`;
    const inBody = await bench.send(
        `POST /orders HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    assert.equal([getSummary(inPath), getSummary(inBody)], ["400 malformed-request", "400 malformed-request"]);
    assert.equal(bench.received, []);
});

test("a withdrawn key is refused on a connection opened before the withdrawal", async () => {
    const client = new Client(bench.getUrl());
    const request = {
        method: "GET",
        path: "/catalogue/1",
        headers: { authorization: `Bearer ${bench.key.text}` },
    } as const;
    const connections: unknown[] = [];
    client.on("connect", url => connections.push(url));
    const first = await client.request(request);
    await first.body.dump();
    bench.removeKey();
    const second = await client.request(request);
    const problem = await second.body.json() as { reason: string; };
    await client.close();
    assert.equal([first.statusCode, second.statusCode, problem.reason], [200, 401, "withdrawn-key"]);
    assert.is(connections.length, 1);
});

test("withdrawing a key aborts an answer that is being streamed", async () => {
    const body = new Readable({ read: () => {} });
    body.push("first part");
    bench.createOutcome = () => {
        setImmediate(() => bench.removeKey());
        return { kind: OutcomeKind.Done, status: 200, headers: { "content-length": "100" }, body };
    };
    const answer = await bench.send(`GET /catalogue/1 HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}\r\n`);
    assert.is(answer.includes("first part") && answer.length > 100, true);
    assert.is(bench.activeRequests.getCount(), 0);
});

test("an upstream answer that fails midway reaches the caller as truncated, not as complete", async () => {
    const body = Readable.from((async function* createParts() {
        yield "first part";
        throw new Error("The upstream has closed the connection.");
    })());
    bench.createOutcome = () => ({ kind: OutcomeKind.Done, status: 200, headers: {}, body });
    const answer = await bench.send(`GET /catalogue/1 HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}\r\n`);
    assert.is(answer.endsWith("0\r\n\r\n"), false);
    assert.is(bench.activeRequests.getCount(), 0);
});

test("a refusal before the account host reports an unknown outcome for a request with an idempotency key", async () => {
    bench.membership.isHostCurrent = false;
    const request = `POST /orders HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n`;
    const stale = await bench.send(request);
    bench.membership.isHostCurrent = true;
    bench.removeKey();
    const withdrawn = await bench.send(request);
    assert.equal([getSummary(stale), getSummary(withdrawn)], ["503 host-not-current", "401 withdrawn-key"]);
    assert.match(stale, /x-outcome: unknown\r\n/);
    assert.match(stale, /retry-after: 1\r\n/);
    assert.match(withdrawn, /x-outcome: unknown\r\n/);
    assert.equal(bench.received, []);
});

test("a host that is not current refuses requests as not run", async () => {
    bench.membership.isHostCurrent = false;
    const answer = await bench.send(`GET /catalogue/1 HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}\r\n`);
    assert.is(getSummary(answer), "503 host-not-current");
    assert.match(answer, /x-outcome: not-run\r\n/);
    assert.match(answer, /retry-after: 1\r\n/);
    assert.match(answer, /"otherUrls":\["http:\/\/127\.0\.0\.1:2"\]/);
});

test("answers to requests that are sent ahead arrive in the order of the requests", async () => {
    const outcomes = new Map<string, (outcome: Outcome) => void>();
    bench.createOutcome = request => new Promise(resolve => outcomes.set(request.path, resolve));
    const get = (path: string, fields = ""): string =>
        `GET /catalogue/${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEY\r\n${fields}\r\n`;
    const answer = bench.send(get("1") + get("2") + get("3", "Connection: close\r\n"));
    while (outcomes.size < 3) {
        await new Promise(setImmediate);
    }
    for (const path of ["/catalogue/3", "/catalogue/2", "/catalogue/1"]) {
        const headers = { "content-length": String(path.length) };
        outcomes.get(path)!({ kind: OutcomeKind.Done, status: 200, headers, body: Readable.from([Buffer.from(path)]) });
    }
    assert.equal((await answer).match(/\/catalogue\/\d/g), ["/catalogue/1", "/catalogue/2", "/catalogue/3"]);
});

test("a stop answers queries for addresses and orders that were sent behind a request", async () => {
    const headers = { "content-length": "0" };
    let sendOutcome = (): void => {};
    bench.createOutcome = () =>
        new Promise(resolve => {
            sendOutcome = () => resolve({ kind: OutcomeKind.Done, status: 200, headers, body: Readable.from([]) });
        });
    const paths = ["/catalogue/1", "/v1/addresses", "/v1/orders/x"];
    const fields = "Host: a\r\nAuthorization: Bearer KEY\r\n";
    const received = bench.send(paths.map(path => `GET ${path} HTTP/1.1\r\n${fields}\r\n`).join(""));
    while (bench.received.length === 0) {
        await new Promise(setImmediate);
    }
    const stopped = bench.drain();
    sendOutcome();
    const text = await received;
    await stopped;
    assert.equal(text.match(/(?<=HTTP\/1\.1 )\d+/g), ["200", "200", "400"]);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
});

test("a caller that leaves cancels all requests that it has sent ahead", async () => {
    bench.createOutcome = () => new Promise(() => {});
    const get = "GET /catalogue/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEY\r\n\r\n".repeat(3);
    const leave = bench.open(get);
    while (bench.signals.length < 3) {
        await new Promise(setImmediate);
    }
    leave();
    while (bench.signals.some(signal => !signal.aborted)) {
        await new Promise(setImmediate);
    }
});

test.run();

function getBadRequests(): Record<string, string> {
    const post = `POST /orders HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}`;
    return {
        "no key": "GET /catalogue HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "unknown key": "GET /catalogue HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer x.y\r\nConnection: close\r\n\r\n",
        "wrong secret": "GET /catalogue HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEYx\r\nConnection: close\r\n\r\n",
        "not a key": "GET /catalogue HTTP/1.1\r\nHost: a\r\nAuthorization: Basic eA==\r\nConnection: close\r\n\r\n",
        "unknown route": `GET /catalogues HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}\r\n`,
        "wrong method": `DELETE /orders HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}\r\n`,
        "body over the limit": `${post}Content-Length: 99999\r\n\r\n`,
        "chunked body over the limit": `${post}Transfer-Encoding: chunked\r\n\r\n800\r\n${
            "x".repeat(2048)
        }\r\n0\r\n\r\n`,
        "both lengths": `${post}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
        "two lengths": `${post}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc`,
        "over-long header": `GET /catalogue HTTP/1.1\r\nHost: a\r\nX-Long: ${"x".repeat(20_000)}\r\n\r\n`,
        "not HTTP": "HELLO\r\n\r\n",
        "upgrade": "GET /catalogue HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        "connect": "CONNECT 127.0.0.1:80 HTTP/1.1\r\nHost: a\r\n\r\n",
        "bad timeout": `GET /catalogue HTTP/1.1\r\nHost: a\r\n${AUTHORIZED}X-Timeout-Ms: soon\r\n\r\n`,
        "bad idempotency key": `${post}Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n`,
    };
}

function getSummary(answer: string): string {
    const status = answer.split(" ")[1] ?? "no answer";
    const reason = /"reason":"([^"]+)"/.exec(answer)?.[1] ?? "";
    return `${status} ${reason}`.trim();
}
