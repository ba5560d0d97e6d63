import { test } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { ServiceRequest } from "../../src/services/index.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { runClockUntil } from "../support/runClockUntil.js";

const HOSTS = 90;
const MAX_ATTEMPTS = 2;
const SERVICE_TIME_MS = 200;
const WINDOW_MS = 10_000;
const REQUEST_INTERVAL_MS = 500;
const END_MS = 5_000;
const RETRY_SHARE = 0.2;
const RETRY_SLACK = 166;
/** Retries per second granted regardless of the number of requests; the gateway sets it to 40 % of the slack. */
const RETRY_RATE = 0.4 * RETRY_SLACK / (WINDOW_MS / 1_000);

test("the total retries of isolated hosts, which each send their own requests, stay within the service's retry budget", async () => {
    const bench = new DispatchBench({
        hosts: HOSTS,
        serviceTimeMs: 5,
        service: { retryBudget: RETRY_SHARE, retryRate: RETRY_RATE },
    });
    bench.applyFailures();
    bench.hosts.forEach(({ membership }) => Object.assign(membership, { isIsolated: () => true }));
    let requests = 0;
    for (let time = 0; time < WINDOW_MS; time += REQUEST_INTERVAL_MS) {
        bench.hosts.forEach((_, index) => void bench.run(index, MAX_ATTEMPTS));
        requests += HOSTS;
        await bench.clock.run(REQUEST_INTERVAL_MS);
    }
    await bench.clock.run(END_MS);
    const retries = bench.upstreams.records.filter(({ requestId }) => requestId.includes(".")).length;
    assert.ok(retries <= RETRY_SHARE * requests + RETRY_SLACK, `${retries} retries of ${requests} requests`);
});

test("a request that a part refuses for lack of room is sent to the next ones as counted", async () => {
    const bench = new DispatchBench({
        hosts: 3,
        upstreamsPerZone: 1,
        serviceTimeMs: 1_000,
        service: { queuePerSlot: 0 },
    });
    const requests: ServiceRequest[] = [];
    bench.hosts.forEach(({ serviceHost }) => {
        const run = serviceHost.run.bind(serviceHost);
        serviceHost.run = (request, signal) => {
            requests.push(request);
            return run(request, signal);
        };
    });
    const outcomes = Array.from({ length: 30 }, () => bench.run(0, MAX_ATTEMPTS));
    await bench.clock.run(END_MS);
    await Promise.all(outcomes);
    const unsent = requests.filter(({ sentBefore }) => sentBefore === 0);
    assert.ok(unsent.some(({ isCounted }) => isCounted === true));
    assert.equal(unsent.filter(({ requestId, isCounted }) => (isCounted === true) !== requestId.includes(".")), []);
});

test("a lookup whose service host is lost is retried by the host that received it, with its own, unused pool", async () => {
    const bench = new DispatchBench({ hosts: HOSTS, serviceTimeMs: SERVICE_TIME_MS });
    const { zone } = bench.hosts[0]!.membership.getSelf();
    const rankedHosts = bench.hosts[0]!.membership.getServiceHosts(bench.service.name, zone);
    const lastHostIndex = bench.hosts.findIndex(({ membership }) => membership.getSelf().id === rankedHosts.at(-1)!.id);
    const lookup = bench.run(lastHostIndex, MAX_ATTEMPTS);
    await bench.clock.run(SERVICE_TIME_MS / 4);
    rankedHosts.slice(0, -1).forEach(({ id, peerAddress }) => {
        bench.network.removeHost(peerAddress);
        bench.hosts[lastHostIndex]!.membership.unreachable.add(id);
    });
    assert.is((await runClockUntil(bench.clock, lookup))!.kind, OutcomeKind.Done);
});

test.run();
