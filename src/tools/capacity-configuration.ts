import { type Change, ChangeAnswerKind, ChangeKind, type ChangeOperation } from "../configuration/index.js";
import { FuchsiapathError } from "../errors/index.js";
import { FakeNetwork, FakeStore } from "../fakes/index.js";
import type { Store } from "../store/index.js";
import { SystemClock } from "../time/index.js";
import { CapacityHost } from "./capacity/CapacityHost.js";
import { createLargeDocument } from "./capacity/createLargeDocument.js";
import type { DocumentSize } from "./capacity/DocumentSize.js";
import { LoopWatch } from "./capacity/LoopWatch.js";
import { measureHeap } from "./capacity/measureHeap.js";

/*
 * Measures what the configuration costs at three sizes, in one process with a store in memory, and prints a table.
 * Usage: node dist/src/tools/capacity-configuration.js
 */
const TARGET: DocumentSize = { accounts: 46_000, routes: 2_800, services: 190, upstreams: 7_800 };
const SHARES = [0.1, 0.5, 1];
const OPERATOR = "team";
const KILOBYTE = 1_024;
const SMALL_CHANGES = 20;

interface Figures {
    readonly [name: string]: number | string;
}

const rows: Figures[] = [];
for (const share of SHARES) {
    rows.push(
        await measureSize({
            accounts: TARGET.accounts * share,
            routes: TARGET.routes * share,
            services: TARGET.services * share,
            upstreams: TARGET.upstreams * share,
        }),
    );
}
const names = Object.keys(rows[0] ?? {});
console.log(`| figure | ${rows.map(row => `${row.accounts} accounts`).join(" | ")} |`);
console.log(`| --- |${" ---: |".repeat(rows.length)}`);
for (const name of names) {
    console.log(`| ${name} | ${rows.map(row => row[name]).join(" | ")} |`);
}

async function measureSize(size: DocumentSize): Promise<Figures> {
    const network = new FakeNetwork(new SystemClock());
    network.delayMs = 0;
    const store = new FakeStore(new SystemClock());
    const counter = { bytes: 0 };
    const first = new CapacityHost(network, createCountingStore(store, counter), "127.0.0.1:1", []);
    const watch = new LoopWatch();
    const document = createLargeDocument(size, OPERATOR);
    const operations = Object.entries(document.sections)
        .map(([section, content]): ChangeOperation => ({ kind: ChangeKind.PutSection, section, content }));
    watch.start();
    const wholeMs = await measureChange(first, { id: "all", operator: OPERATOR, baseVersion: 0, operations });
    const wholeBlockMs = watch.stop();
    const whole = { bytes: counter.bytes, writes: store.calls.writes };
    const second = new CapacityHost(network, store, "127.0.0.1:2", ["127.0.0.1:1"]);
    const { head } = (await first.headStore.read())!;
    const heapBefore = measureHeap();
    watch.start();
    const loadStart = performance.now();
    await second.loader.apply(head);
    const loadMs = performance.now() - loadStart;
    const loadBlockMs = watch.stop();
    const heapBytes = measureHeap() - heapBefore;
    const small = await measureSmallChanges(first, second, store, counter, watch, document.sections.accounts!.keys!);
    return {
        ...size,
        "whole: apply, ms": wholeMs.toFixed(0),
        "whole: longest block, ms": wholeBlockMs.toFixed(0),
        "whole: written, KB": (whole.bytes / KILOBYTE).toFixed(0),
        "whole: store writes": whole.writes,
        "head, KB": (JSON.stringify(head).length / KILOBYTE).toFixed(1),
        "host start: load from a peer, ms": loadMs.toFixed(0),
        "host start: longest block, ms": loadBlockMs.toFixed(0),
        "host: heap, MB": (heapBytes / KILOBYTE / KILOBYTE).toFixed(1),
        ...small,
    };
}

async function measureSmallChanges(
    first: CapacityHost,
    second: CapacityHost,
    store: FakeStore,
    counter: { bytes: number; },
    watch: LoopWatch,
    keys: readonly { readonly id: string; }[],
): Promise<Figures> {
    const before = { ...store.calls, bytes: counter.bytes };
    let [applyMs, applyBlockMs, loadMs, loadBlockMs, loadCpuUs] = [0, 0, 0, 0, 0];
    for (let index = 0; index < SMALL_CHANGES; index++) {
        const { version } = first.loader.getHead();
        const operations: ChangeOperation[] = [{ kind: ChangeKind.WithdrawKey, keyId: keys[index]!.id }];
        watch.start();
        applyMs += await measureChange(first, {
            id: `k${index}`,
            operator: OPERATOR,
            baseVersion: version,
            operations,
        });
        applyBlockMs = Math.max(applyBlockMs, watch.stop());
        const cpuBefore = process.cpuUsage();
        const start = performance.now();
        watch.start();
        await second.loader.apply(first.loader.getHead());
        loadBlockMs = Math.max(loadBlockMs, watch.stop());
        loadMs += performance.now() - start;
        const cpu = process.cpuUsage(cpuBefore);
        loadCpuUs += cpu.user + cpu.system;
    }
    const getMean = (total: number): number => total / SMALL_CHANGES;
    return {
        "one key: apply, ms": getMean(applyMs).toFixed(1),
        "one key: longest block at the applying host, ms": applyBlockMs.toFixed(1),
        "one key: written, KB": (getMean(counter.bytes - before.bytes) / KILOBYTE).toFixed(1),
        "one key: store writes": getMean(store.calls.writes - before.writes),
        "one key: store reads": getMean(store.calls.reads - before.reads),
        "one key: load at another host, ms": getMean(loadMs).toFixed(1),
        "one key: longest block at another host, ms": loadBlockMs.toFixed(1),
        "one key: processor time at another host, ms": (getMean(loadCpuUs) / 1_000).toFixed(1),
    };
}

async function measureChange(host: CapacityHost, change: Change): Promise<number> {
    const start = performance.now();
    const answer = await host.service.apply(change);
    if (answer.kind !== ChangeAnswerKind.Accepted) {
        throw new FuchsiapathError(`The change was not accepted: ${JSON.stringify(answer).slice(0, KILOBYTE)}`);
    }
    return performance.now() - start;
}

function createCountingStore(store: FakeStore, counter: { bytes: number; }): Store {
    return {
        get: key => store.get(key),
        compareAndSwap: (key, value, revision, leaseId) => {
            counter.bytes += value.length;
            return store.compareAndSwap(key, value, revision, leaseId);
        },
        remove: (key, revision) => store.remove(key, revision),
        watch: (key, revision, waitMs) => store.watch(key, revision, waitMs),
        createLease: durationMs => store.createLease(durationMs),
        renewLease: leaseId => store.renewLease(leaseId),
        releaseLease: leaseId => store.releaseLease(leaseId),
    };
}
