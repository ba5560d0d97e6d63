import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreUnavailableError, UnknownChangeOutcomeError } from "../../src/errors/index.js";
import { FakeClock, FakeStore } from "../../src/fakes/index.js";
import { type Head, StoredHeadStore } from "../../src/head/index.js";
import { SeededRandom } from "../../src/random/index.js";
import type { Store } from "../../src/store/index.js";
import { runClockUntil } from "../support/runClockUntil.js";
import { StepStore } from "../support/StepStore.js";

const KEPT_CHANGES = 200;

const clock = new FakeClock();
const run = <T>(promise: Promise<T>): Promise<T | undefined> => runClockUntil(clock, promise);
const createHeadStore = (store: Store): StoredHeadStore =>
    new StoredHeadStore({ store, clock, random: new SeededRandom(7) });
const createSame = (head: Head): Head => ({ ...head });

test("many writers that race all take effect once, each with a version of its own", async () => {
    const store = new FakeStore(clock);
    const ids = Array.from({ length: 20 }, (_, index) => `change-${index}`);
    const heads = await run(Promise.all(ids.map(id => createHeadStore(store).apply(id, createSame))));
    const { head } = (await createHeadStore(store).read())!;
    assert.is(head.version, 20);
    assert.equal(head.changes.map(change => change.id).sort(), [...ids].sort());
    assert.equal(head.changes.map(change => change.version), ids.map((_, index) => index + 1));
    assert.is(new Set(heads?.map(known => known.version)).size, 20);
});

test("a change whose answers are all lost takes effect once, and asking again finds it", async () => {
    const store = new FakeStore(clock);
    store.faults.losesWriteAnswers = true;
    assert.is((await run(createHeadStore(store).apply("a", createSame)))?.version, 1);
    store.faults.losesWriteAnswers = false;
    assert.is((await run(createHeadStore(store).apply("b", createSame)))?.version, 2);
    assert.is((await run(createHeadStore(store).apply("a", createSame)))?.version, 2);
});

test("with the store away a change is given up with an error that says so", async () => {
    const store = new FakeStore(clock);
    store.faults.isAway = true;
    const failure = await run(createHeadStore(store).apply("a", createSame).catch((error: unknown) => error));
    assert.instance(failure, StoreUnavailableError);
    store.faults.isAway = false;
    assert.is(await createHeadStore(store).read(), undefined);
});

test("a change that was pushed out of the list while its answer was lost is never made again", async () => {
    const store = new FakeStore(clock);
    const rival = createHeadStore(store);
    const faulty = new StepStore(store, 2, "late-answer");
    faulty.onFault = async () => {
        for (let count = 0; count < KEPT_CHANGES; count++) {
            await rival.apply(`rival-${count}`, createSame);
        }
    };
    const failure = await run(createHeadStore(faulty).apply("a", createSame).catch((error: unknown) => error));
    assert.instance(failure, UnknownChangeOutcomeError);
    const { head } = (await rival.read())!;
    assert.is(head.version, KEPT_CHANGES + 1);
    assert.is(head.changes.length, KEPT_CHANGES);
});

test("a change of view keeps what only changes of the configuration write", async () => {
    const headStore = createHeadStore(new FakeStore(clock));
    const kept = { removedSections: { old: 1 }, retiredChunks: { chunk: 1 } };
    await run(headStore.apply("a", head => ({ ...head, ...kept, auditKey: "audit/1" })));
    const view = { version: 2, members: [] };
    const head = await run(headStore.apply("b", ({ sections }) => ({ sections, view })));
    assert.equal([head?.removedSections, head?.retiredChunks], [kept.removedSections, kept.retiredChunks]);
    assert.is(head?.lastAuditKey, "audit/1");
});

test("a change that gives up leaves the head", async () => {
    const headStore = createHeadStore(new FakeStore(clock));
    assert.is((await run(headStore.apply("a", () => undefined)))?.version, 0);
    assert.is(await headStore.read(), undefined);
});

test.run();
