import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
    claimPeerSecret,
    PlatformStore,
    STORE_KEYS,
    StoredHostRegistry,
    TransactionResultKind,
} from "../../platform/store/index.js";
import { StoreUnavailableError } from "../../src/errors/index.js";
import { WatchResultKind } from "../../src/replica/index.js";
import { createMember } from "../support/createMember.js";
import { MockPlatformStore } from "./support/MockPlatformStore.js";
import { StoreFaultMode } from "./support/StoreFaultMode.js";

const MAX_WATCH_BYTES = 10_000;

const test = suite("PlatformStore");
let mockStore: MockPlatformStore;
let store: PlatformStore;

test.before.each(async () => {
    mockStore = new MockPlatformStore();
    const address = await mockStore.start();
    store = new PlatformStore({
        address,
        prefixes: [STORE_KEYS.configuration, STORE_KEYS.upstreams, STORE_KEYS.hosts],
        maxWatchBytes: MAX_WATCH_BYTES,
    });
});

test.after.each(async () => {
    await store.close();
    await mockStore.stop();
});

test("a read returns all pages of each prefix and no other keys", async () => {
    for (let index = 0; index < 120; index++) {
        mockStore.write(`servers/i-${String(index).padStart(3, "0")}`, "{}");
    }
    mockStore.write("other/key", "x");
    const { parts } = await store.readAll();
    assert.is(parts.find(part => part.prefix === STORE_KEYS.upstreams)!.items.length, 120);
    assert.is(parts.flatMap(part => part.items).length, 120);
});

test("a watch returns changes and removals, and reports when the store has discarded the history", async () => {
    const [part] = (await store.readAll()).parts;
    mockStore.write("servers/a", "1");
    mockStore.remove("servers/a");
    const result = await store.watch(part!.revision, 1_000);
    assert.ok(result.kind === WatchResultKind.Events);
    assert.equal(result.events.map(event => event.value), ["1", undefined]);
    mockStore.write("servers/b", "1");
    mockStore.removeHistory();
    assert.equal(await store.watch(part!.revision, 1_000), { kind: WatchResultKind.HistoryLost });
});

// Guards against hosts that run out of memory while they read many versions of a large item at once (beside review/6).
test("changes that are longer than the limit count as lost, and the store answers on", async () => {
    const [part] = (await store.readAll()).parts;
    const value = "x".repeat(1_000);
    for (let version = 0; version < 20; version++) {
        mockStore.write("servers/a", `${value}${version}`);
    }
    assert.equal(await store.watch(part!.revision, 1_000), { kind: WatchResultKind.HistoryLost });
    const { parts } = await store.readAll();
    assert.equal(parts.flatMap(({ items }) => items.map(item => item.value)), [`${value}19`]);
    const next = await store.watch(Math.min(...parts.map(({ revision }) => revision)), 20);
    assert.is(next.kind, WatchResultKind.Events);
});

test("a watch without changes ends after its maximum wait", async () => {
    const [part] = (await store.readAll()).parts;
    assert.equal(await store.watch(part!.revision, 20), {
        kind: WatchResultKind.Events,
        epoch: 1,
        revision: part!.revision,
        events: [],
    });
});

test("a write whose precondition fails returns the current item", async () => {
    mockStore.write("fuchsiapath/k", "old");
    const write = { absentKeys: ["fuchsiapath/k"], items: [{ key: "fuchsiapath/k", value: "new" }] };
    const result = await store.write(write);
    assert.ok(result.kind === TransactionResultKind.Conflict);
    assert.equal(result.items.map(item => item.value), ["old"]);
});

test("a write under an expired lease is reported as such", async () => {
    const result = await store.write({ items: [{ key: "fuchsiapath/k", value: "v", lease: 99 }] });
    assert.equal(result, { kind: TransactionResultKind.LeaseExpired });
});

test("an error status, a lost response and no response reject with a StoreUnavailableError", async () => {
    for (const faultMode of [StoreFaultMode.Unavailable, StoreFaultMode.LostResponse, StoreFaultMode.Silent]) {
        mockStore.faultMode = faultMode;
        const error = await store.createLease(5_000).then(() => undefined, (reason: unknown) => reason);
        assert.instance(error, StoreUnavailableError, faultMode);
    }
});

test("hosts that claim the peer secret concurrently get the same one", async () => {
    const secrets = await Promise.all([1, 2, 3, 4].map(() => claimPeerSecret(store)));
    assert.is(new Set(secrets).size, 1);
    assert.is(await claimPeerSecret(store), secrets[0]);
});

test("a host's entry is removed when its lease expires or is released", async () => {
    const registry = new StoredHostRegistry(store);
    await registry.add(createMember(1), 5_000);
    assert.equal(mockStore.getKeys(STORE_KEYS.hosts), ["fuchsiapath/hosts/host-1"]);
    assert.is(await registry.renew(), true);
    mockStore.removeLeases();
    assert.is(await registry.renew(), false);
    await registry.add(createMember(1), 5_000);
    await registry.remove();
    assert.equal(mockStore.getKeys(STORE_KEYS.hosts), []);
});

test.run();
