import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreLimitError, StoreUnavailableError, StoreValueError } from "../../src/errors/index.js";
import { StoreServer } from "../../src/standins/index.js";
import { HttpStore, STORE_VALUE_LIMIT_BYTES, WriteResultKind } from "../../src/store/index.js";
import { SystemClock } from "../../src/time/index.js";

const TIMEOUT_MS = 10_000;
const LONG_MS = 60_000;

let server: StoreServer;
let store: HttpStore;
let url: string;

test.before.each(async () => {
    server = new StoreServer(new SystemClock());
    url = `http://127.0.0.1:${await server.start(0)}`;
    store = new HttpStore({ url, timeoutMs: TIMEOUT_MS });
});

test.after.each(async () => {
    await store.close();
    await server.stop();
});

test("swaps a value only at the expected revision", async () => {
    const first = await store.compareAndSwap("a", "1", 0);
    assert.equal(first, { kind: WriteResultKind.Written, revision: 1 });
    const second = await store.compareAndSwap("a", "2", 0);
    assert.equal(second, { kind: WriteResultKind.Conflict, current: { value: "1", revision: 1 } });
    assert.equal(await store.get("a"), { value: "1", revision: 1 });
    assert.is(await store.get("b"), undefined);
    assert.is(await store.remove("a", 2), false);
    assert.is(await store.remove("a", 1), true);
});

test("a watch ends with the change and counts as one call", async () => {
    const watch = store.watch("a", 0, LONG_MS);
    await store.compareAndSwap("a", "1", 0);
    assert.equal(await watch, { value: "1", revision: 1 });
    assert.equal(server.store.calls, { reads: 0, writes: 1, watches: 1, limited: 0 });
});

test("a lease takes its records with it, and a lapsed lease writes nothing", async () => {
    const lease = await store.createLease(LONG_MS);
    await store.compareAndSwap("a", "1", 0, lease);
    assert.is(await store.renewLease(lease), true);
    await store.releaseLease(lease);
    assert.is(await store.get("a"), undefined);
    assert.is(await store.renewLease(lease), false);
    const late = await store.compareAndSwap("a", "2", 0, lease);
    assert.is(late.kind, WriteResultKind.Conflict);
});

test("a lost answer is an error although the write took effect", async () => {
    await applyFaults({ losesWriteAnswers: true });
    assert.instance(await store.compareAndSwap("a", "1", 0).catch(getError), StoreUnavailableError);
    assert.equal(await store.get("a"), { value: "1", revision: 1 });
});

test("an outage refuses every call and ends", async () => {
    await applyFaults({ isAway: true });
    assert.instance(await store.get("a").catch(getError), StoreUnavailableError);
    await applyFaults({ isAway: false });
    assert.is(await store.get("a"), undefined);
});

test("calls beyond the rates are refused", async () => {
    await applyFaults({ readsPerSecond: 0.001, writesPerSecond: 0.001 });
    assert.instance(await store.get("a").catch(getError), StoreLimitError);
    assert.instance(await store.compareAndSwap("a", "1", 0).catch(getError), StoreLimitError);
    await applyFaults({ readsPerSecond: null });
    assert.is(await store.get("a"), undefined);
    assert.is(server.store.calls.limited, 2);
});

test("a value above the limit is refused", async () => {
    const error = await store.compareAndSwap("a", "x".repeat(STORE_VALUE_LIMIT_BYTES + 1), 0).catch(getError);
    assert.instance(error, StoreValueError);
    assert.is(await store.get("a"), undefined);
});

test("a control request with faults that don't exist is refused with their places", async () => {
    const response = await request(`${url}/control`, {
        method: "POST",
        body: JSON.stringify({ isGone: 1, delayMs: -1 }),
    });
    assert.is(response.statusCode, 400);
    assert.is((await response.body.json() as { findings: unknown[]; }).findings.length, 2);
});

test.run();

async function applyFaults(faults: object): Promise<void> {
    const response = await request(`${url}/control`, { method: "POST", body: JSON.stringify(faults) });
    assert.is(response.statusCode, 200, await response.body.text());
}

function getError(error: unknown): unknown {
    return error;
}
