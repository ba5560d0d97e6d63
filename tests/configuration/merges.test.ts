import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    type Change,
    ChangeAnswerKind,
    ChangeKind,
    type ChangeOperation,
    checkDocument,
    type Configuration,
    IndexedConfiguration,
} from "../../src/configuration/index.js";
import { FakeClock, FakeNetwork, FakeStore } from "../../src/fakes/index.js";
import { createChangeHost } from "../support/createChangeHost.js";
import { createTestDocument } from "../support/createTestDocument.js";
import { runClockUntil } from "../support/runClockUntil.js";

const SEED = 20_261_204;
const RUNS = 60;

const document = createTestDocument();
const names = fc.constantFrom("shop-1", "shop-2", "shop-3", "shop-4");
const keyIds = fc.constantFrom("k1", "k2", "k3");
const sections = fc.constantFrom("accounts", "orders", "catalogue", "missing");
const operations = fc.oneof(
    fc.record({ section: sections, name: names, rate: fc.integer({ min: 1, max: 9 }) }).map(
        ({ section, name, rate }): ChangeOperation => (
            { kind: ChangeKind.PutAccount, section, account: { name, rate, burst: rate } }
        ),
    ),
    names.map((account): ChangeOperation => ({ kind: ChangeKind.RemoveAccount, account })),
    fc.record({ section: sections, id: keyIds, account: names }).map(({ section, id, account }): ChangeOperation => (
        { kind: ChangeKind.PutKey, section, key: { id, account, salt: "A".repeat(22), hash: "B".repeat(43) } }
    )),
    keyIds.map((keyId): ChangeOperation => ({ kind: ChangeKind.WithdrawKey, keyId })),
    fc.record({ upstream: fc.constantFrom("orders-0", "catalogue-1", "none"), draining: fc.boolean() }).map(
        ({ upstream, draining }): ChangeOperation => ({ kind: ChangeKind.DrainUpstream, upstream, draining }),
    ),
    fc.constantFrom("orders", "catalogue").map((section): ChangeOperation => ({
        kind: ChangeKind.RemoveSection,
        section,
    })),
    fc.constantFrom("orders", "catalogue").map((section): ChangeOperation => (
        { kind: ChangeKind.PutSection, section, content: createRootOwnedSection(section) }
    )),
);
const changes = fc.array(
    fc.record({
        operations: fc.array(operations, { minLength: 1, maxLength: 3 }),
        age: fc.integer({ min: 0, max: 3 }),
    }),
    { minLength: 1, maxLength: 12 },
);

test("after any sequence of changes every accepted version is a valid document, and a withdrawn key stays withdrawn", async () => {
    const property = fc.asyncProperty(changes, async list => {
        const { host, newHost, run } = await createFixture();
        const withdrawn = new Set<string>();
        for (const [index, { operations, age }] of list.entries()) {
            const { version } = host.loader.getHead();
            const baseVersion = Math.max(1, version - age);
            const change: Change = { id: `c${index}`, operator: "root", baseVersion, operations };
            const answer = await run(host.service.apply(change));
            const isAccepted = answer?.kind === ChangeAnswerKind.Accepted;
            assert.is(host.loader.getHead().version, version + (isAccepted ? 1 : 0));
            assert.equal(checkDocument(host.loader.getDocument()).findings, []);
            checkKeys(host.loader.getConfiguration(), withdrawn);
        }
        await run(newHost.loader.apply(host.loader.getHead()));
        assert.equal(newHost.loader.getDocument(), host.loader.getDocument());
        checkIndex(host.loader.getConfiguration(), host.loader.getDocument());
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test.run();

function createRootOwnedSection(section: string): NonNullable<typeof document.sections[string]> {
    return { ...document.sections[section]!, owners: ["root"] };
}

/** Checks that a withdrawn key stays withdrawn until it is removed together with its account. */
function checkKeys(configuration: Configuration, withdrawn: Set<string>): void {
    for (const id of ["k1", "k2", "k3"]) {
        const key = configuration.getKey(id);
        if (key === undefined) {
            withdrawn.delete(id);
        }
        else if (key.withdrawn === true) {
            withdrawn.add(id);
        }
        assert.is(withdrawn.has(id), key?.withdrawn === true);
    }
}

/** Checks that the incrementally updated index equals one created from the whole document. */
function checkIndex(configuration: Configuration, fullDocument: typeof document): void {
    const expected = new IndexedConfiguration(configuration.version, fullDocument);
    const getSorted = (items: readonly { readonly name: string; }[]): unknown[] =>
        [...items].sort((left, right) => left.name < right.name ? -1 : 1);
    assert.equal(getSorted(configuration.getAccounts()), getSorted(expected.getAccounts()));
    assert.equal(getSorted(configuration.getServices()), getSorted(expected.getServices()));
    for (const path of ["/orders/7", "/catalogue", "/"]) {
        assert.equal(configuration.findRoute(path), expected.findRoute(path));
    }
}

async function createFixture(): Promise<{
    host: ReturnType<typeof createChangeHost>;
    newHost: ReturnType<typeof createChangeHost>;
    run: <T>(promise: Promise<T>) => Promise<T | undefined>;
}> {
    const clock = new FakeClock();
    const store = new FakeStore(clock);
    const network = new FakeNetwork(clock);
    const host = createChangeHost(clock, network, store, "127.0.0.1:1");
    const newHost = createChangeHost(clock, network, store, "127.0.0.1:2");
    const run = <T>(promise: Promise<T>): Promise<T | undefined> => runClockUntil(clock, promise);
    const operations = Object.keys(document.sections).map((section): ChangeOperation => (
        { kind: ChangeKind.PutSection, section, content: createRootOwnedSection(section) }
    ));
    await run(host.service.apply({ id: "start", operator: "root", baseVersion: 0, operations }));
    return { host, newHost, run };
}
