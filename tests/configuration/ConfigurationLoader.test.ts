import { test } from "uvu";
import * as assert from "uvu/assert";
import { ChangeKind, type ChangeOperation, createSectionTree } from "../../src/configuration/index.js";
import { ChunksMissingError, StoreUnavailableError } from "../../src/errors/index.js";
import { FakeClock, FakeNetwork, FakeStore } from "../../src/fakes/index.js";
import { findChunkDigests, type Head } from "../../src/head/index.js";
import { PeerHandlers, PeerMethod } from "../../src/peers/index.js";
import type { ChangeHost } from "../support/ChangeHost.js";
import { createChangeHost } from "../support/createChangeHost.js";
import { createTestDocument } from "../support/createTestDocument.js";
import { runClockUntil } from "../support/runClockUntil.js";

const FIRST = "127.0.0.1:1";
const SECOND = "127.0.0.1:2";
const THIRD = "127.0.0.1:3";
const KEY_COUNT = 46_000;

test("a host that starts while the store is unavailable fetches the chunks from a peer", async () => {
    const { store, createHost, run, heads } = await createFixture();
    store.faults.isAway = true;
    const { loader } = createHost(SECOND, [FIRST]);
    await run(loader.apply(heads[1]!));
    assert.is(loader.getConfiguration().getKey("k1")?.withdrawn, true);
});

test("without peers and store the configuration stays unchanged, and a later attempt succeeds", async () => {
    const { store, createHost, run, heads } = await createFixture();
    store.faults.isAway = true;
    const { loader } = createHost(SECOND, [THIRD]);
    const failure = await run(loader.apply(heads[0]!).catch((error: unknown) => error));
    assert.instance(failure, StoreUnavailableError);
    assert.is(loader.getConfiguration().version, 0);
    store.faults.isAway = false;
    await run(loader.apply(heads[0]!));
    assert.is(loader.getConfiguration().version, 1);
});

test("a chunk with a wrong digest is rejected, whichever peer sends it", async () => {
    const { network, createHost, run, heads } = await createFixture();
    const handlers = new PeerHandlers();
    handlers.add(PeerMethod.GetChunks, () => ({ texts: ["{\"accounts\":[{\"name\":\"intruder\"}]}"] }));
    network.addHost(THIRD, { handlers });
    const { loader } = createHost(SECOND, [THIRD, FIRST]);
    await run(loader.apply(heads[0]!));
    assert.is(loader.getConfiguration().getAccount("intruder"), undefined);
    assert.is(loader.getConfiguration().version, 1);
    const missing = { ...heads[1]!, version: 9, sections: { a: { owners: ["a"], version: 9, chunks: ["none"] } } };
    const failure = await run(loader.apply(missing).catch((error: unknown) => error));
    assert.instance(failure, ChunksMissingError);
});

test("the version never decreases, whatever the order of the heads and the delay of their chunks", async () => {
    const { clock, createHost, run, heads } = await createFixture();
    const { loader } = createHost(SECOND, [FIRST]);
    const activeVersions: number[] = [];
    loader.addListener((configuration, previous) => {
        assert.ok(configuration.version > previous.version);
        activeVersions.push(configuration.version);
    });
    const old = loader.apply(heads[0]!);
    const newest = loader.apply(heads[2]!);
    await clock.run(1);
    const middle = loader.apply(heads[1]!);
    await run(Promise.all([old, newest, middle]));
    await run(loader.apply(heads[0]!));
    assert.is(activeVersions.at(-1), 3);
    assert.is(loader.getConfiguration().version, 3);
    assert.is(loader.getConfiguration().getKey("k1")?.withdrawn, true);
});

test("chunks fetched for a newer head stay cached while an older head is activated", async () => {
    const { clock, store, network, createHost, run, heads } = await createFixture();
    const [changed] = [...findChunkDigests(heads[1]!.sections)].filter(digest =>
        !findChunkDigests(heads[0]!.sections).has(digest)
    );
    const { value } = (await store.get(`chunk/${changed}`))!;
    const handlers = new PeerHandlers();
    handlers.add(PeerMethod.GetChunks, ({ digests }) => ({ texts: digests.includes(changed!) ? [value] : [] }));
    network.addHost(THIRD, { handlers });
    store.faults.delayMs = 100;
    const { loader } = createHost(SECOND, [THIRD]);
    const older = loader.apply(heads[0]!);
    await clock.run(50);
    const newer = loader.apply(heads[1]!);
    await run(Promise.all([older, newer]));
    assert.is(loader.getConfiguration().version, 2);
});

test("only changed chunks are fetched, and withdrawing one of 46,000 keys changes one chunk", async () => {
    const { store, createHost, run } = await createFixture();
    const { service, loader, headStore } = createHost(SECOND, []);
    const keys = Array.from({ length: KEY_COUNT }, (_, index) => (
        { id: `big-${index}`, account: "shop-1", salt: "A".repeat(22), hash: "B".repeat(43) }
    ));
    const content = { owners: ["root"], keys };
    const chunks = createSectionTree(content).leaves;
    assert.ok(chunks.every(chunk => chunk.text!.length < 64 * 1024));
    const changed = { owners: ["root"], keys: keys.map(key => key.id === "big-7" ? { ...key, withdrawn: true } : key) };
    const known = new Set(chunks.map(chunk => chunk.digest));
    assert.is(createSectionTree(changed).leaves.filter(chunk => !known.has(chunk.digest)).length, 1);
    const put: ChangeOperation = { kind: ChangeKind.PutSection, section: "big", content };
    await run(service.apply({ id: "big", operator: "root", baseVersion: 3, operations: [put] }));
    const other = createHost(THIRD, []);
    await run(other.loader.apply((await headStore.read())!.head));
    const withdraw: ChangeOperation = { kind: ChangeKind.WithdrawKey, keyId: "big-7" };
    await run(service.apply({ id: "small", operator: "root", baseVersion: 4, operations: [withdraw] }));
    const head = (await headStore.read())!.head;
    const before = { ...store.calls };
    await run(other.loader.apply(head));
    assert.is(store.calls.reads - before.reads, 1);
    assert.is(other.loader.getConfiguration().getKey("big-7")?.withdrawn, true);
    assert.is(loader.getConfiguration().version, 5);
});

test.run();

interface Fixture {
    readonly clock: FakeClock;
    readonly store: FakeStore;
    readonly network: FakeNetwork;
    readonly heads: readonly Head[];
    readonly createHost: (address: string, peers: readonly string[]) => ChangeHost;
    readonly run: <T>(promise: Promise<T>) => Promise<T | undefined>;
}

/** Creates a host that has applied versions 1 (whole document), 2 (a key withdrawn) and 3 (a section removed). */
async function createFixture(): Promise<Fixture> {
    const clock = new FakeClock();
    const store = new FakeStore(clock);
    const network = new FakeNetwork(clock);
    const createHost = (address: string, peers: readonly string[]): ChangeHost =>
        createChangeHost(clock, network, store, address, peers);
    const run = <T>(promise: Promise<T>): Promise<T | undefined> => runClockUntil(clock, promise);
    const { service, loader } = createHost(FIRST, []);
    const sections = Object.entries(createTestDocument().sections);
    const changes: ChangeOperation[][] = [
        sections.map(([section, content]) => (
            { kind: ChangeKind.PutSection, section, content: { ...content, owners: ["root"] } }
        )),
        [{ kind: ChangeKind.WithdrawKey, keyId: "k1" }],
        [{ kind: ChangeKind.RemoveSection, section: "orders" }],
    ];
    const heads: Head[] = [];
    for (const [baseVersion, operations] of changes.entries()) {
        await run(service.apply({ id: `c${baseVersion}`, operator: "root", baseVersion, operations }));
        heads.push(loader.getHead());
    }
    return { clock, store, network, heads, createHost, run };
}
