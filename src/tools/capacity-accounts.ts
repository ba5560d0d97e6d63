import { Readable } from "node:stream";
import { AccountHost } from "../accounts/index.js";
import { RouteAccess, RouteKind } from "../configuration/index.js";
import type { Account, Configuration, Route, Service } from "../configuration/index.js";
import { FuchsiapathError } from "../errors/index.js";
import { FakeClock, FakeMembership, FakeNetwork, FakeStore } from "../fakes/index.js";
import type { Member } from "../head/index.js";
import { DecisionHistory } from "../logging/index.js";
import { OrderRecords } from "../orders/OrderRecords.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { PeerHandlers } from "../peers/index.js";
import type { PeerTransport } from "../peers/index.js";
import { SeededRandom } from "../random/index.js";
import { BucketTable } from "../rates/BucketTable.js";
import { SharedRateLimiter } from "../rates/index.js";
import type { CallerRequest } from "../requests/index.js";
import type { ServiceAnswer } from "../services/index.js";
import { SystemClock } from "../time/index.js";
import type { Clock } from "../time/index.js";
import { measureWork } from "./capacity/measureWork.js";

/*
 * Prints what an account host costs for each account, request, order record and borrowed token, at three sizes each.
 * Usage: node dist/src/tools/capacity-accounts.js
 */
const SETTLED_MS = 700_000;
const MEMBER_COUNT = 900;
const MS_PER_SECOND = 1_000;
const START_MS = 6_000;
const WARM_UP_REQUESTS = 2_000;
const CONCURRENT_REQUESTS = 100;
const KEPT_BODY = Buffer.alloc(200, "x").toString("base64");

const members = Array.from({ length: MEMBER_COUNT }, (_, index) => createMember(index));
const view = { version: 1, members };

await measureBuckets();
await measureRecords();
await measureRequests(RouteKind.Lookup);
await measureRequests(RouteKind.Order);
await measureBorrowing();

/** One bucket for each account, on one host of 900, with the account hosts found by rendezvous hashing. */
async function measureBuckets(): Promise<void> {
    for (const count of [2_000, 10_000, 46_000]) {
        const clock = new FakeClock();
        const membership = new FakeMembership(members[0]!, { version: 1, members: members.slice(0, 3) });
        const table = new BucketTable({ clock, membership });
        const accounts = Array.from({ length: count }, (_, index) => createAccount(`account-${index}`, 100));
        await clock.run(SETTLED_MS);
        const cost = await measureWork(() => {
            for (const account of accounts) {
                table.get(account, clock.getTime()).apply(account, clock.getTime()).spend(clock.getTime());
            }
            return table;
        });
        reportCost("bucket", count, cost.cpuUs, cost.bytes);
    }
}

async function measureRecords(): Promise<void> {
    for (const count of [10_000, 30_000, 100_000]) {
        const records = new OrderRecords(new FakeClock());
        const holder = { memberId: "m0", incarnation: "i1" };
        const cost = await measureWork(() => {
            for (let index = 0; index < count; index++) {
                const key = `fp1-${"p".repeat(50)}.order-${index}`;
                const fingerprint = `${"f".repeat(35)}${index}`;
                const record = records.add({ account: `account-${index % 150}`, key, fingerprint, holder });
                records.recordOutcome(record, { kind: OutcomeKind.Done, status: 201, headers: {}, body: KEPT_BODY });
            }
            return records;
        });
        reportCost("order record with a body of 200 bytes", count, cost.cpuUs, cost.bytes);
    }
}

/** Requests of 150 accounts whose service host is in the same process and answers at once. */
async function measureRequests(kind: RouteKind): Promise<void> {
    const clock = new SystemClock();
    const host = createHost(clock);
    await clock.wait(START_MS);
    const prefix = host.createKeyPrefix();
    for (const count of [WARM_UP_REQUESTS, 5_000, 10_000, 20_000]) {
        const cost = await measureWork(async () => {
            for (let index = 0; index < count; index += CONCURRENT_REQUESTS) {
                const batch = Array.from({ length: CONCURRENT_REQUESTS }, (_, offset) => index + offset);
                await Promise.all(batch.map(number => runRequest(host, createRequest(kind, prefix, count, number))));
            }
        });
        if (count !== WARM_UP_REQUESTS) {
            reportCost(`${kind} request`, count, cost.cpuUs, 0);
        }
    }
}

async function runRequest(host: AccountHost, request: CallerRequest): Promise<void> {
    const outcome = await host.run(request, new AbortController().signal);
    if (outcome.kind !== OutcomeKind.Done) {
        throw new FuchsiapathError(`A request was not run: ${outcome.reason}.`);
    }
    outcome.body.resume();
}

/** Messages for an account whose callers use one of its three hosts only. */
async function measureBorrowing(): Promise<void> {
    for (const rate of [10, 100, 1_000]) {
        const clock = new FakeClock();
        const network = new FakeNetwork(clock);
        const account = { name: "shop", rate, burst: rate };
        const calls = { count: 0 };
        const limiters = members.slice(0, 3).map(member => createLimiter(clock, network, member, account, calls));
        await clock.run(SETTLED_MS);
        let admitted = 0;
        const seconds = 10;
        for (let index = 0; index < rate * seconds; index++) {
            void limiters[0]!.admit(account).then(decision => admitted += decision.isAdmitted ? 1 : 0);
            await clock.run(MS_PER_SECOND / rate);
        }
        const perRequest = (calls.count / admitted).toFixed(3);
        console.log(`borrowing at ${rate}/s from one host: ${admitted} admitted, ${perRequest} calls a request`);
    }
}

function createLimiter(
    clock: FakeClock,
    network: FakeNetwork,
    member: Member,
    account: Account,
    calls: { count: number; },
): SharedRateLimiter {
    const handlers = new PeerHandlers();
    network.addHost(member.peerAddress, { handlers });
    const transport = network.createTransport(member.peerAddress);
    const counting: PeerTransport = {
        send: (...args) => {
            calls.count++;
            return transport.send(...args);
        },
    };
    const membership = new FakeMembership(member, { version: 1, members: members.slice(0, 3) });
    const getConfiguration = (): Configuration => createConfiguration(account);
    const decisionLog = new DecisionHistory(clock);
    return new SharedRateLimiter({ clock, membership, transport: counting, handlers, decisionLog, getConfiguration });
}

function createHost(clock: Clock): AccountHost {
    const network = new FakeNetwork(clock);
    const member = members[0]!;
    return new AccountHost({
        clock,
        membership: new FakeMembership(member, { ...view, members: [member] }),
        random: new SeededRandom(1),
        transport: network.createTransport(member.peerAddress),
        forwarder: network.createForwarder(member.peerAddress),
        handlers: new PeerHandlers(),
        store: new FakeStore(clock),
        serviceRunner: { run: () => Promise.resolve(createAnswer()), recordSenderEnd: () => {} },
        decisionLog: new DecisionHistory(clock),
        getConfiguration: () => createConfiguration(createAccount("account-0", 0)),
    });
}

function createAnswer(): ServiceAnswer {
    const body = Readable.from([Buffer.from("answer")]);
    const outcome: Outcome = { kind: OutcomeKind.Done, status: 200, headers: {}, body };
    return { outcome, upstream: "u", isCrashSuspected: false, freeSlots: 6, queued: 0 };
}

function createRequest(kind: RouteKind, prefix: string, round: number, index: number): CallerRequest {
    return {
        requestId: `r${round}-${index}`,
        account: createAccount(`account-${index % 150}`, 100_000),
        keyId: "k",
        route: createRoute(kind),
        method: "POST",
        path: `/${kind}/${index}`,
        headers: {},
        body: Buffer.alloc(300),
        idempotencyKey: kind === RouteKind.Order ? `${prefix}.${round}-${index}` : undefined,
        timeoutMs: 1_000,
    };
}

function createMember(index: number): Member {
    const id = `m${index}`;
    return { id, region: "r", zone: "a", peerAddress: `${id}:1`, callerAddress: `${id}:2`, incarnation: "i1" };
}

function createAccount(name: string, rate: number): Account {
    return { name, rate, burst: rate };
}

function createRoute(kind: RouteKind): Route {
    const base = { path: "/", methods: ["POST"], service: "service", access: RouteAccess.Accounts };
    return { name: kind, kind, deadlineMs: 1_000, maxBodyBytes: 1_000, ...base };
}

function createConfiguration(account: Account): Configuration {
    const service = createService();
    const found: Partial<Configuration> = { version: 1, getAccount: () => account, getService: () => service };
    return found as Configuration;
}

function createService(): Service {
    const upstreams = [{ name: "u", address: "u:1", zone: "a", slots: 6, connections: 300 }];
    const detection = {
        healthyErrorRate: 0.01,
        failingErrorRate: 0.5,
        ejectThreshold: 5,
        slowFactor: 3,
        probationMs: 1,
    };
    return { name: "service", upstreams, floor: 0.5, retryBudget: 0.2, queuePerSlot: 2, detection };
}

function reportCost(what: string, count: number, cpuUs: number, bytes: number): void {
    const cpu = `${(cpuUs / count).toFixed(2)} us of processor time each`;
    const memory = bytes > 0 ? `, ${Math.round(bytes / count)} bytes each` : "";
    console.log(`${count} x ${what}: ${cpu}${memory}`);
}
