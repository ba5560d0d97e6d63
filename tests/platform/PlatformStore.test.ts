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

const test = suite("PlatformStore");
let standIn: MockPlatformStore;
let store: PlatformStore;

test.before.each(async () => {
    standIn = new MockPlatformStore();
    const address = await standIn.start();
    store = new PlatformStore({
        address,
        prefixes: [STORE_KEYS.configuration, STORE_KEYS.upstreams, STORE_KEYS.hosts],
    });
});

test.after.each(async () => {
    await store.close();
    await standIn.stop();
});

test("a reading takes all pages of each prefix and nothing else", async () => {
    for (let index = 0; index < 120; index++) {
        standIn.write(`servers/i-${String(index).padStart(3, "0")}`, "{}");
    }
    standIn.write("other/key", "x");
    const parts = await store.readAll(false);
    assert.is(parts.find(part => part.prefix === STORE_KEYS.upstreams)!.items.length, 120);
    assert.is(parts.flatMap(part => part.items).length, 120);
});

test("a watch gives changes and removals with their revisions, and says when the history is lost", async () => {
    const [part] = await store.readAll(false);
    standIn.write("servers/a", "1");
    standIn.remove("servers/a");
    const result = await store.watch(part!.revision, 1_000);
    assert.ok(result.kind === WatchResultKind.Events);
    assert.equal(result.events.map(event => event.value), ["1", undefined]);
    standIn.write("servers/b", "1");
    standIn.removeHistory();
    assert.equal(await store.watch(part!.revision, 1_000), { kind: WatchResultKind.HistoryLost });
});

test("a watch without changes ends after its wait", async () => {
    const [part] = await store.readAll(false);
    assert.equal(await store.watch(part!.revision, 20), {
        kind: WatchResultKind.Events,
        revision: part!.revision,
        events: [],
    });
});

test("a write under a condition is refused with the item as it is", async () => {
    standIn.write("fuchsiapath/k", "old");
    const write = { absentKeys: ["fuchsiapath/k"], items: [{ key: "fuchsiapath/k", value: "new" }] };
    const answer = await store.write(write);
    assert.ok(answer.kind === TransactionResultKind.Conflict);
    assert.equal(answer.items.map(item => item.value), ["old"]);
});

test("a write under a lease that has ended says so", async () => {
    const answer = await store.write({ items: [{ key: "fuchsiapath/k", value: "v", lease: 99 }] });
    assert.equal(answer, { kind: TransactionResultKind.LeaseExpired });
});

test("an error, a lost answer and no answer are all reported", async () => {
    for (const mood of [StoreFaultMode.Unavailable, StoreFaultMode.LostResponse, StoreFaultMode.Silent]) {
        standIn.faultMode = mood;
        const error = await store.createLease(5_000).then(() => undefined, (reason: unknown) => reason);
        assert.instance(error, StoreUnavailableError, mood);
    }
});

test("all hosts get the same secret, whoever writes it", async () => {
    const secrets = await Promise.all([1, 2, 3, 4].map(() => claimPeerSecret(store)));
    assert.is(new Set(secrets).size, 1);
    assert.is(await claimPeerSecret(store), secrets[0]);
});

test("a host's entry lives with its lease and goes with it", async () => {
    const registry = new StoredHostRegistry(store);
    await registry.add(createMember(1), 5_000);
    assert.equal(standIn.getKeys(STORE_KEYS.hosts), ["fuchsiapath/hosts/host-1"]);
    assert.is(await registry.renew(), true);
    standIn.removeLeases();
    assert.is(await registry.renew(), false);
    await registry.add(createMember(1), 5_000);
    await registry.remove();
    assert.equal(standIn.getKeys(STORE_KEYS.hosts), []);
});

test.run();
