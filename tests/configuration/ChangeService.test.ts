import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    AuditTrail,
    type Change,
    type ChangeAnswer,
    ChangeAnswerKind,
    ChangeKind,
    type ChangeOperation,
    createSectionTree,
} from "../../src/configuration/index.js";
import { FakeClock, FakeNetwork, FakeStore } from "../../src/fakes/index.js";
import { findChunkDigests } from "../../src/head/index.js";
import type { ChangeHost } from "../support/ChangeHost.js";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { createChangeHost } from "../support/createChangeHost.js";
import { createTestDocument } from "../support/createTestDocument.js";
import { FaultInjectingStore } from "../support/FaultInjectingStore.js";
import type { InjectedStoreFault } from "../support/InjectedStoreFault.js";
import { runClockUntil } from "../support/runClockUntil.js";

const document = createTestDocument();
const { accounts, catalogue, orders } = document.sections;
const FAULTS: readonly InjectedStoreFault[] = ["answer-lost", "away", "crash", "rival", "late-answer"];
const MAX_STEPS = 40;
/** Number of changes after which the next one removes a retired chunk from the store. */
const RETIRING_CHANGES = 21;

test("concurrent changes of different sections are both accepted, and one of two on the same section is refused", async () => {
    const { hosts, run } = await createFixture();
    const createPut = (id: string, operator: string, section: string, content = document.sections[section]!): Change =>
        createChange(id, operator, { kind: ChangeKind.PutSection, section, content });
    const different = await run(Promise.all([
        hosts[0]!.service.apply(createPut("a", "lookups", "catalogue")),
        hosts[1]!.service.apply(createPut("b", "sales", "orders")),
    ]));
    assert.equal(different?.map(answer => answer.kind), [ChangeAnswerKind.Accepted, ChangeAnswerKind.Accepted]);
    const same = await run(Promise.all([
        hosts[0]!.service.apply({ ...createPut("c", "office", "orders"), baseVersion: 3 }),
        hosts[1]!.service.apply({ ...createPut("d", "sales", "orders"), baseVersion: 3 }),
    ]));
    assert.equal(same?.map(answer => answer.kind).sort(), [ChangeAnswerKind.Accepted, ChangeAnswerKind.Refused]);
    const refused = same?.find(answer => answer.kind === ChangeAnswerKind.Refused);
    assert.equal(refused?.findings, [
        { place: "sections.orders", message: "was changed in version 4, after base version 3" },
    ]);
});

test("a change based on an older version does not restore a section that was removed since", async () => {
    const { hosts, run } = await createFixture();
    const remove = createChange("a", "sales", { kind: ChangeKind.RemoveSection, section: "orders" });
    const put = createChange("b", "office", { kind: ChangeKind.PutSection, section: "orders", content: orders! });
    assert.is((await run(hosts[0]!.service.apply(remove)))?.kind, ChangeAnswerKind.Accepted);
    assert.is((await run(hosts[1]!.service.apply(put)))?.kind, ChangeAnswerKind.Refused);
});

test("operations on items apply to the current version of their section", async () => {
    const { hosts, run } = await createFixture();
    const account = { name: "shop-3", rate: 1, burst: 1 };
    const answers = await run(Promise.all([
        hosts[0]!.service.apply(
            createChange("a", "office", { kind: ChangeKind.PutAccount, section: "accounts", account }),
        ),
        hosts[1]!.service.apply(createChange("b", "office", { kind: ChangeKind.WithdrawKey, keyId: "k1" })),
    ]));
    assert.equal(answers?.map(answer => answer.kind), [ChangeAnswerKind.Accepted, ChangeAnswerKind.Accepted]);
    const head = (await hosts[0]!.headStore.read())!.head;
    await run(hosts[0]!.loader.apply(head));
    const configuration = hosts[0]!.loader.getConfiguration();
    assert.equal(configuration.getAccount("shop-3"), account);
    assert.is(configuration.getKey("k1")?.withdrawn, true);
});

test("a refusal lists all findings against a change with their places", async () => {
    const { hosts, run } = await createFixture();
    const answers: (ChangeAnswer | undefined)[] = [];
    for (const [index, operations] of createRefusedOperations().entries()) {
        const change = { id: `r${index}`, operator: "lookups", baseVersion: 1, operations };
        answers.push(await run(hosts[0]!.service.apply(change)));
    }
    const ahead = { ...createChange("r9", "lookups", { kind: ChangeKind.WithdrawKey, keyId: "k1" }), baseVersion: 7 };
    answers.push(await run(hosts[0]!.service.apply(ahead)));
    checkSnapshot("configuration/refusals", answers);
    assert.is((await hosts[0]!.headStore.read())?.head.version, 1);
});

test("a change is accepted only after a majority has installed it, and sending it again does not apply it twice", async () => {
    const { hosts, run } = await createFixture();
    const change = createChange("a", "office", { kind: ChangeKind.WithdrawKey, keyId: "k1" });
    hosts[0]!.isMajorityReached = false;
    assert.equal(await run(hosts[0]!.service.apply(change)), { kind: ChangeAnswerKind.Unconfirmed, version: 2 });
    assert.equal(await run(hosts[1]!.service.apply(change)), { kind: ChangeAnswerKind.Accepted, version: 2 });
    const other = { ...change, operations: [{ kind: ChangeKind.RemoveAccount, account: "shop-2" } as const] };
    assert.is((await run(hosts[1]!.service.apply(other)))?.kind, ChangeAnswerKind.Refused);
    assert.is((await hosts[1]!.headStore.read())?.head.version, 2);
});

test("the audit trail decides whether a change that the head no longer lists was applied", async () => {
    const { hosts, run } = await createFixture();
    const first = createChange("early", "office", createPutAccount(1));
    await run(hosts[0]!.service.apply(first));
    for (let count = 0; count < 205; count++) {
        await run(hosts[0]!.headStore.apply(`view-${count}`, head => ({ ...head })));
    }
    await run(hosts[0]!.service.apply({ ...createChange("second", "office", createPutAccount(2)), baseVersion: 207 }));
    assert.equal(await run(hosts[1]!.service.apply(first)), { kind: ChangeAnswerKind.Accepted, version: 2 });
    const unapplied = createChange("unseen", "office", createPutAccount(3));
    assert.is((await run(hosts[1]!.service.apply(unapplied)))?.kind, ChangeAnswerKind.Refused);
});

test("unused chunks are removed from the store, and no chunk that is used again is lost", async () => {
    const { clock, network, store, hosts, run } = await createFixture();
    const usedDigests = new Set<string>();
    for (let count = 0; count < 60; count++) {
        const change = { ...createChange(`c${count}`, "office", createPutAccount(1 + count % 2)), baseVersion: 1 };
        assert.is((await run(hosts[count % 2]!.service.apply(change)))?.kind, ChangeAnswerKind.Accepted);
        const { head } = (await hosts[0]!.headStore.read())!;
        Object.values(head.sections).flatMap(section => section.chunks).forEach(digest => usedDigests.add(digest));
        const newHost = createChangeHost(clock, network, store, "127.0.0.1:9");
        await run(newHost.loader.apply(head));
        assert.is(newHost.loader.getConfiguration().getAccount("shop-7")?.rate, 1 + count % 2);
    }
    const stored = await Promise.all([...usedDigests].map(digest => store.get(`chunk/${digest}`)));
    const { head } = (await hosts[0]!.headStore.read())!;
    const listed = findChunkDigests(head.sections).size + Object.keys(head.retiredChunks!).length;
    assert.is(stored.filter(record => record !== undefined).length, listed);
    assert.ok(listed < 30);
});

for (const fault of FAULTS) {
    test(`each change is applied atomically and once: ${fault} at every step`, async () => {
        for (let step = 1; step <= MAX_STEPS; step++) {
            const { clock, store, network, hosts, run } = await createFixture();
            await createRetiredChunks(hosts[0]!, run);
            const faultyStore = new FaultInjectingStore(store, step, fault);
            const host = createChangeHost(clock, network, faultyStore, "127.0.0.1:9");
            const change = createChange("a", "office", createPutAccount(7), createPutAccount(8, "shop-8"));
            const other = createChange("b", "sales", {
                kind: ChangeKind.PutSection,
                section: "orders",
                content: orders!,
            });
            if (fault === "rival" || fault === "late-answer") {
                faultyStore.onFault = async () => void await hosts[0]!.service.apply(other);
            }
            const answer = await run(host.service.apply(change), 10_000);
            assert.is.not(answer?.kind, ChangeAnswerKind.Refused, `step ${step}`);
            await checkHeadIsComplete(hosts[1]!, run);
            assert.is((await run(hosts[0]!.service.apply(other)))?.kind, ChangeAnswerKind.Accepted, `step ${step}`);
            assert.is((await run(hosts[1]!.service.apply(change)))?.kind, ChangeAnswerKind.Accepted, `step ${step}`);
            await checkHeadIsComplete(hosts[1]!, run);
            const head = (await hosts[1]!.headStore.read())!.head;
            assert.is(head.version, RETIRING_CHANGES + 3, `step ${step}`);
            assert.is(hosts[1]!.loader.getConfiguration().getAccount("shop-8")?.rate, 8, `step ${step}`);
            const trail = await new AuditTrail(store).read(head, MAX_STEPS);
            const versions = Array.from({ length: RETIRING_CHANGES + 3 }, (_, index) => RETIRING_CHANGES + 3 - index);
            assert.equal(trail.map(entry => entry.record.version), versions, `step ${step}`);
            if (step > faultyStore.steps) {
                return;
            }
        }
        assert.unreachable("the change took more store calls than the test covers");
    });
}

test.run();

function createPutAccount(rate: number, name = "shop-7"): ChangeOperation {
    return { kind: ChangeKind.PutAccount, section: "accounts", account: { name, rate, burst: 1 } };
}

function createChange(id: string, operator: string, ...operations: ChangeOperation[]): Change {
    return { id, operator, baseVersion: 1, operations };
}

function createRefusedOperations(): ChangeOperation[][] {
    const account = { name: "shop-1", rate: 1, burst: 1 };
    return [
        [{ kind: ChangeKind.PutSection, section: "orders", content: orders! }],
        [{ kind: ChangeKind.RemoveSection, section: "nothing" }, { kind: ChangeKind.WithdrawKey, keyId: "nothing" }],
        [{ kind: ChangeKind.PutAccount, section: "catalogue", account }],
        [{ kind: ChangeKind.PutKey, section: "catalogue", key: accounts!.keys![0]! }],
        [{ kind: ChangeKind.DrainUpstream, upstream: "orders-1", draining: true }],
        [{
            kind: ChangeKind.PutSection,
            section: "catalogue",
            content: { owners: [], services: catalogue!.services! },
        }],
        [{ kind: ChangeKind.PutSection, section: "new", content: { ...catalogue!, owners: ["sales"] } }],
    ];
}

interface Fixture {
    readonly clock: FakeClock;
    readonly store: FakeStore;
    readonly network: FakeNetwork;
    readonly hosts: readonly ChangeHost[];
    readonly run: <T>(promise: Promise<T>, limitMs?: number) => Promise<T | undefined>;
}

/** Creates two hosts and a store with head version 1. */
async function createFixture(): Promise<Fixture> {
    const clock = new FakeClock();
    const store = new FakeStore(clock);
    const network = new FakeNetwork(clock);
    const run = <T>(promise: Promise<T>, limitMs?: number): Promise<T | undefined> =>
        runClockUntil(clock, promise, limitMs);
    const hosts = ["127.0.0.1:1", "127.0.0.1:2"].map(address => createChangeHost(clock, network, store, address));
    const operations = Object.entries(document.sections).map(([section, content]) => (
        { kind: ChangeKind.PutSection, section, content: { ...content, owners: [...content.owners, "root"] } } as const
    ));
    const answer = await run(hosts[0]!.service.apply({ id: "first", operator: "root", baseVersion: 0, operations }));
    assert.equal(answer, { kind: ChangeAnswerKind.Accepted, version: 1 });
    return { clock, store, network, hosts, run };
}

async function createRetiredChunks(host: ChangeHost, run: Fixture["run"]): Promise<void> {
    for (let count = 0; count < RETIRING_CHANGES; count++) {
        await run(host.service.apply(createChange(`r${count}`, "office", createPutAccount(100 + count))));
    }
}

/** Checks that a host can load all chunks of the stored head and that the chunks match the document. */
async function checkHeadIsComplete(host: ChangeHost, run: Fixture["run"]): Promise<void> {
    const { head } = (await host.headStore.read())!;
    await run(host.loader.apply(head));
    assert.is(host.loader.getConfiguration().version, head.version);
    const sections = host.loader.getDocument().sections;
    for (const [name, section] of Object.entries(sections)) {
        const digests = createSectionTree(section).leaves.map(chunk => chunk.digest);
        assert.equal(head.sections[name]?.chunks, digests);
    }
}
