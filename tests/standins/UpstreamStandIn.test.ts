import { Agent, request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { ProductUpstreamProtocol } from "../../src/services/index.js";
import { RecordEnd, UpstreamControl, upstreamSettings, UpstreamStandIn } from "../../src/standins/index.js";
import { SystemClock } from "../../src/time/index.js";

const LONG_MS = 600_000;
const settings = { name: "u1", slots: 1, connections: 10, serviceTime: { kind: "fixed", ms: 0 } };

let agent: Agent;
let upstream: UpstreamStandIn;
let control: UpstreamControl;
let url: string;
let controlUrl: string;

test.before.each(() => {
    agent = new Agent();
});

test.after.each(async () => {
    await agent.destroy();
    await control.stop();
    await upstream.stop();
});

test("an answer names its request and is recorded with the headers seen", async () => {
    await start({});
    const answer = await get("/orders?ref=7", { "x-request-id": "r7", "x-account": "a", "idempotency-key": "k" });
    const body = await answer.body.json() as Record<string, unknown>;
    assert.equal([body["requestId"], body["path"]], ["r7", "/orders?ref=7"]);
    const [record] = upstream.getRecords();
    assert.equal([record?.requestId, record?.account, record?.idempotencyKey], ["r7", "a", "k"]);
    assert.equal([record?.ran, record?.end, record?.status], [true, RecordEnd.Answered, 200]);
    assert.ok(record?.headers.includes("x-account"));
});

test("a large answer has the size that its head names", async () => {
    await start({ largeBytes: 200_000 });
    const text = await (await get("/files/3/large")).body.text();
    assert.is(text.length, 200_000);
    assert.is((JSON.parse(text.slice(0, text.indexOf("\n"))) as { bytes: number; }).bytes, 200_000);
});

test("what an upstream says of itself is read by the product's protocol", async () => {
    const protocol = new ProductUpstreamProtocol();
    await start({ faults: { requestRate: 2.5, isLeaving: true } });
    const answer = await get("/a");
    assert.equal(protocol.decodeNotice(answer.statusCode, answer.headers), { requestRate: 2.5, isLeaving: true });
    for (const isRefusalProven of [true, false]) {
        upstream.applyFaults({ ...upstream.getFaults(), isLeaving: false, refusalMs: 8_000, isRefusalProven });
        const refusal = await get("/b");
        assert.equal([refusal.statusCode, refusal.headers["x-request-not-run"] === "1"], [503, isRefusalProven]);
        assert.equal(protocol.decodeNotice(refusal.statusCode, refusal.headers), {
            requestRate: 2.5,
            isLeaving: false,
            retryAfterMs: 8_000,
        });
    }
    assert.equal(upstream.getRecords().map(({ ran }) => ran), [true, false, false]);
});

test("work beyond slots and queue is shed as not run", async () => {
    const clock = new FakeClock();
    await start({ serviceTime: { kind: "fixed", ms: LONG_MS } }, clock);
    const first = get("/a");
    await waitUntil(() => upstream.getLoad().busy === 1);
    const second = await get("/b");
    assert.equal([second.statusCode, second.headers["x-request-not-run"]], [503, "1"]);
    assert.ok(second.headers["retry-after"]);
    assert.equal(upstream.getRecords().map(record => record.ran), [true, false]);
    await clock.run(LONG_MS);
    assert.is((await first).statusCode, 200);
});

test("a queued request leaves when its deadline passes, running work answers 504", async () => {
    const clock = new FakeClock();
    await start({ serviceTime: { kind: "fixed", ms: LONG_MS }, queue: 1, queueMs: LONG_MS }, clock);
    const first = get("/a", { "x-deadline-ms": "1000" });
    await waitUntil(() => upstream.getLoad().busy === 1);
    const second = get("/b", { "x-deadline-ms": "10" });
    await waitUntil(() => upstream.getLoad().queued === 1);
    await clock.run(1_000);
    assert.is((await second).statusCode, 503);
    assert.is((await first).statusCode, 504);
    assert.equal(upstream.getRecords().map(record => record.end), [RecordEnd.Expired, RecordEnd.Shed]);
});

test("closing the connection cancels the work and frees the slot", async () => {
    const clock = new FakeClock();
    await start({ serviceTime: { kind: "fixed", ms: LONG_MS } }, clock);
    const controller = new AbortController();
    const call = request(`${url}/a`, { dispatcher: agent, signal: controller.signal }).catch(() => undefined);
    await waitUntil(() => upstream.getLoad().busy === 1);
    controller.abort();
    await call;
    await waitUntil(() => upstream.getLoad().busy === 0);
    assert.is(upstream.getRecords()[0]?.end, RecordEnd.Cancelled);
});

test("gray faults are switched at run time", async () => {
    await start({});
    await applyFaults({ errorShare: 1 });
    assert.is((await get("/a")).statusCode, 500);
    await applyFaults({ errorShare: 0, cutShare: 1 });
    const cut = await get("/b").then(answer => answer.body.text()).catch(() => "cut");
    assert.is(cut, "cut");
    await applyFaults({ cutShare: 0, crossShare: 1 });
    const crossed = await (await get("/c")).body.json() as { path: string; };
    assert.is(crossed.path, "/b");
    assert.is((await get("/health")).statusCode, 200);
});

test("flapping turns faults on and off by periods", async () => {
    const clock = new FakeClock();
    await start({}, clock);
    await applyFaults({ errorShare: 1, flapPeriodMs: 1_000 });
    assert.is(await getStatus(clock), 500);
    await clock.run(1_000);
    assert.is(await getStatus(clock), 200);
});

test("silent connections never answer while new ones work", async () => {
    await start({});
    await (await get("/a")).body.text();
    await applyFaults({ stopTraffic: true });
    const silent = get("/b").then(() => "answered", () => "closed");
    await waitUntil(() => upstream.getRecords().some(record => record.end === RecordEnd.Silent));
    const other = new Agent();
    assert.is((await request(`${url}/c`, { dispatcher: other })).statusCode, 200);
    await other.destroy();
    await agent.destroy();
    assert.is(await silent, "closed");
});

test("a marked request crashes the upstream, which refuses connections until it is back", async () => {
    const clock = new FakeClock();
    await start({ crashDownMs: 1_000 }, clock);
    assert.is(await getError(get("/a", { "x-crash-upstream": "1" })), "ECONNRESET");
    assert.is(await getError(get("/b")), "ECONNREFUSED");
    assert.equal(upstream.getRecords().map(record => [record.ran, record.end]), [[true, RecordEnd.Crashed]]);
    await clock.run(1_000);
    assert.is(await getStatus(clock), 200);
});

test("connections are refused while the fault says so", async () => {
    await start({});
    await applyFaults({ isRefusing: true });
    assert.is(await getError(get("/a")), "ECONNREFUSED");
    await applyFaults({ isRefusing: false });
    assert.is((await get("/a")).statusCode, 200);
});

test("draining shows on the health endpoint after the lag, or never if it lies", async () => {
    const clock = new FakeClock();
    await start({ reportLagMs: 1_000 }, clock);
    await clock.run(1_000);
    await applyFaults({ isDraining: true });
    assert.is(await getStatus(clock, "/health"), 200);
    await clock.run(1_000);
    assert.is(await getStatus(clock, "/health"), 503);
    await applyFaults({ healthMode: "always-good" });
    assert.is(await getStatus(clock, "/health"), 200);
});

test.run();

async function start(changes: object, clock = new SystemClock() as FakeClock | SystemClock): Promise<void> {
    upstream = new UpstreamStandIn(upstreamSettings.parse({ ...settings, ...changes }), clock);
    control = new UpstreamControl([upstream]);
    url = `http://127.0.0.1:${await upstream.start()}`;
    controlUrl = `http://127.0.0.1:${await control.start(0)}/control`;
}

function get(path: string, headers: Record<string, string> = {}): ReturnType<typeof request> {
    return request(url + path, { dispatcher: agent, headers });
}

async function getStatus(clock: FakeClock, path = "/x"): Promise<number> {
    let status = 0;
    const call = get(path).then(async answer => {
        await answer.body.text();
        status = answer.statusCode;
    });
    while (status === 0) {
        await clock.run(0);
    }
    await call;
    return status;
}

async function getError(call: ReturnType<typeof request>): Promise<string> {
    return await call.then(() => "none", (error: Error & { code?: string; }) => error.code ?? error.message);
}

async function applyFaults(faults: object): Promise<void> {
    const answer = await request(controlUrl, { method: "POST", body: JSON.stringify(faults) });
    assert.is(answer.statusCode, 200, await answer.body.text());
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
    const clock = new SystemClock();
    while (!isTrue()) {
        await clock.wait(1);
    }
}
