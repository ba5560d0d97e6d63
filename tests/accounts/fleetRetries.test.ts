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
/** The slack of a small fleet, and the time between two of its requests. */
const SMALL_SLACK = 25;
const SMALL_INTERVAL_MS = 100;
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

// Guards against arrivals above the budget: three parts granted ten retries each at once where the slack was 25 in ten seconds.
test("a burst of failures after a calm time stays within the share of the requests and a small slack", async () => {
    const service = { retryBudget: RETRY_SHARE, retryRate: 0.4 * SMALL_SLACK / 10, retryBurst: 0.6 * SMALL_SLACK };
    const bench = new DispatchBench({ hosts: 6, serviceTimeMs: 20, service });
    const sendFor = async (durationMs: number): Promise<number> => {
        let requests = 0;
        for (let time = 0; time < durationMs; time += SMALL_INTERVAL_MS) {
            void bench.run(requests++ % bench.hosts.length, MAX_ATTEMPTS);
            await bench.clock.run(SMALL_INTERVAL_MS);
        }
        return requests;
    };
    await sendFor(2 * WINDOW_MS);
    bench.applyFailures();
    const requests = await sendFor(WINDOW_MS);
    await bench.clock.run(END_MS);
    const retries = bench.upstreams.records.filter(({ requestId }) => requestId.includes(".")).length;
    assert.ok(retries <= RETRY_SHARE * requests + SMALL_SLACK, `${retries} retries of ${requests} requests`);
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
