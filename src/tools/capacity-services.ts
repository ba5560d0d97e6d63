import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { setImmediate as waitForImmediate } from "node:timers/promises";
import { OutcomeKind } from "../outcomes/index.js";
import type { ServiceHost, ShareBaselineParams, UpstreamTransport } from "../services/index.js";
import { HttpUpstreamTransport, UpstreamAnswerKind } from "../services/index.js";
import { SystemClock } from "../time/index.js";
import { createCapacityRequest } from "./capacity/createCapacityRequest.js";
import { createCapacityService } from "./capacity/createCapacityService.js";
import { createServiceHost } from "./capacity/createServiceHost.js";
import { measureHeap } from "./capacity/measureHeap.js";

/*
 * Prints the slopes of a service host: processor time per request, bytes per upstream and per waiting request.
 * Usage: node dist/src/tools/capacity-services.js
 */
const POOL_UPSTREAMS = 6;
const TOTAL_UPSTREAMS = [78, 780, 7_800];
const POOL_SIZES = [6, 60, 600];
const QUEUE_SIZES = [1_000, 5_000, 20_000];
const QUEUE_PICKS = 2_000;
const REQUESTS = 20_000;
const CONCURRENT = 24;
const REQUESTS_PER_POOL = 60;
const SHARE_INTERVAL_S = 1;
const OTHER_ZONES = 6;

const answering: UpstreamTransport = {
    send: () =>
        Promise.resolve({
            kind: UpstreamAnswerKind.Answered,
            status: 200,
            headers: {},
            body: Readable.from([Buffer.alloc(32)]),
        }),
    closeIdle: () => {},
};

await reportUpstreams();
await reportRequests();
await reportHttp();
await reportQueue();
reportMessages();

async function reportUpstreams(): Promise<void> {
    console.log(`upstreams (in pools of ${POOL_UPSTREAMS})   bytes per upstream`);
    for (const total of TOTAL_UPSTREAMS) {
        const before = measureHeap();
        const host = await createWarmHost(total / POOL_UPSTREAMS);
        const bytes = measureHeap() - before;
        console.log(`${total}   ${Math.round(bytes / host.getStatus().length)}`);
        host.stop();
    }
}

async function createWarmHost(pools: number): Promise<ServiceHost> {
    const names = Array.from({ length: pools }, (_, index) => `service-${index}`);
    const services = new Map(names.map(name => [name, createCapacityService(name, POOL_UPSTREAMS)]));
    const host = createServiceHost(services, answering);
    for (const name of names) {
        await runRequests(host, name, REQUESTS_PER_POOL);
    }
    return host;
}

async function reportRequests(): Promise<void> {
    console.log("upstreams in the zone, divided into parts   microseconds of processor time per request, without HTTP");
    for (const size of POOL_SIZES) {
        const host = createServiceHost(new Map([["service", createCapacityService("service", size)]]), answering);
        await runRequests(host, "service", REQUESTS);
        const before = process.cpuUsage();
        await runRequests(host, "service", REQUESTS);
        const used = process.cpuUsage(before);
        console.log(`${size}   ${((used.user + used.system) / REQUESTS).toFixed(1)}`);
        host.stop();
    }
}

async function reportHttp(): Promise<void> {
    const server = createServer((_, response) => response.end(Buffer.alloc(32)));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const service = createCapacityService("service", POOL_UPSTREAMS);
    const upstreams = service.upstreams.map(upstream => ({ ...upstream, address: `127.0.0.1:${port}` }));
    const transport = new HttpUpstreamTransport(new SystemClock());
    const host = createServiceHost(new Map([["service", { ...service, upstreams: upstreams.slice(0, 1) }]]), transport);
    await runRequests(host, "service", REQUESTS);
    const before = process.cpuUsage();
    await runRequests(host, "service", REQUESTS);
    const used = process.cpuUsage(before);
    const each = ((used.user + used.system) / REQUESTS).toFixed(1);
    console.log(`with HTTP, upstream in the same process: ${each} microseconds of processor time per request`);
    host.stop();
    transport.close();
    server.close();
}

async function reportQueue(): Promise<void> {
    console.log("requests waiting   bytes per waiting request   microseconds to start one");
    for (const size of QUEUE_SIZES) {
        const release: (() => void)[] = [];
        const host = createServiceHost(
            new Map([["service", createCapacityService("service", 1)]]),
            createHoldingTransport(release),
        );
        const before = measureHeap();
        const waiting = Array.from({ length: size }, (_, index) => runRequest(host, "service", index));
        await waitForImmediate();
        const bytes = measureHeap() - before;
        const picks = await measurePicks(release);
        console.log(`${size}   ${Math.round(bytes / size)}   ${picks.toFixed(1)}`);
        host.stop();
        release.splice(0).forEach(open => open());
        await Promise.all(waiting);
    }
}

async function measurePicks(release: (() => void)[]): Promise<number> {
    const before = process.cpuUsage();
    let started = 0;
    while (started < QUEUE_PICKS / 2) {
        const open = release.shift();
        open?.();
        started += Number(open !== undefined);
        await waitForImmediate();
    }
    const used = process.cpuUsage(before);
    return (used.user + used.system) / started;
}

function createHoldingTransport(release: (() => void)[]): UpstreamTransport {
    return {
        send: async (upstream, request, options) => {
            await new Promise<void>(resolve => release.push(resolve));
            return await answering.send(upstream, request, options);
        },
        closeIdle: () => {},
    };
}

async function runRequests(host: ServiceHost, service: string, count: number): Promise<void> {
    let next = 0;
    const runNext = async (): Promise<void> => {
        while (next < count) {
            await runRequest(host, service, next++);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENT }, runNext));
}

async function runRequest(host: ServiceHost, service: string, index: number): Promise<void> {
    const signal = new AbortController().signal;
    const { outcome } = await host.run(createCapacityRequest(service, index), signal);
    if (outcome.kind === OutcomeKind.Done) {
        await outcome.body.toArray();
    }
}

function reportMessages(): void {
    const summary = { errorRate: 0.012_345_678, slowRate: 0.012_345_678, medianMs: 23.456_789 };
    const params: ShareBaselineParams = {
        service: "service-100",
        part: "zone-1",
        upstreams: Array.from({ length: POOL_UPSTREAMS }, () => summary),
        served: { requests: 100, unserved: 10 },
        load: { freeSlots: 10, queued: 10, ageMs: 0 },
    };
    const bytes = JSON.stringify(params).length * OTHER_ZONES;
    console.log(
        `baseline messages: ${
            Math.round(bytes / SHARE_INTERVAL_S)
        } bytes a second and pool, sent to the hosts of ${OTHER_ZONES} other parts`,
    );
}
