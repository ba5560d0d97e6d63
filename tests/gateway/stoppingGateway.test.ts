import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind, SuppliedConfiguration } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { Gateway, GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";

const LIMITS = { maxHeaderBytes: 1_000, maxBodyBytes: 10, headersTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
const UPSTREAM = { name: "u", address: "127.0.0.1:1", zone: "a", slots: 1, connections: 1 };
const REQUEST = { requestId: "1", key: undefined, host: "h", method: "POST", target: "/r/1", headers: {} };
/** How long requests are expected to take, in milliseconds. */
const TARGET_MS = 1_000;
const DEADLINE_MS = 30_000;
const END_MS = 3_000;
const ANSWERED = "answered";

const test = suite("a stopping gateway");
let clock: FakeClock;
let gateway: Gateway;
let sentCount: number;
let answer: () => Promise<Outcome>;

test.before.each(() => {
    clock = new FakeClock();
    sentCount = 0;
    answer = async () => createNotRun(RefusalReason.Overloaded, ANSWERED);
    const configuration = createConfiguration();
    gateway = new Gateway({
        clock,
        random: new SeededRandom(1),
        decisions: new DecisionHistory(clock),
        limiter: { admit: async () => ({ isAdmitted: true, grant: { time: 0 } }), restore: () => {} },
        dispatcher: {
            run: async () => {
                sentCount++;
                return await answer();
            },
        },
        getConfiguration: () => configuration,
        getCopyAge: () => 0,
        notRunStatuses: new Set(),
        checkCopyAge: async () => true,
    });
});

test("a request that was read before the gateway stopped runs if it can be expected to end in time", async () => {
    const readTime = clock.getTime();
    gateway.leave(clock.getTime() + END_MS);
    await clock.run(1);
    gateway.stop();
    await clock.run(1);
    assert.is(getDetail(await run({ readTime })), ANSWERED);
    assert.is(getReason(await run({ readTime: clock.getTime() })), RefusalReason.HostStopping);
    await clock.run(END_MS - TARGET_MS);
    assert.is(getReason(await run({ readTime })), RefusalReason.HostStopping);
    assert.is(sentCount, 1);
});

test("a request whose body comes too late to end before the gateway does is not sent", async () => {
    gateway.leave(clock.getTime() + END_MS);
    const running = run({ body: clock.wait(END_MS - TARGET_MS + 1).then(() => Buffer.alloc(1)) });
    await clock.run(END_MS - TARGET_MS + 1);
    assert.is(getReason(await running), RefusalReason.HostStopping);
    assert.is(sentCount, 0);
});

test("each request in progress is answered when the gateway ends, as not run only if it never runs", async () => {
    answer = () => new Promise(() => {});
    gateway.leave(clock.getTime() + END_MS);
    const outcomes = new Map<string, Outcome>();
    let receiveBody = (): void => {};
    const body = new Promise<Buffer>(resolve => receiveBody = () => resolve(Buffer.alloc(1)));
    void run({}).then(outcome => outcomes.set("sent", outcome));
    void run({ body }).then(outcome => outcomes.set("not sent", outcome));
    await clock.run(END_MS);
    receiveBody();
    await clock.run(1);
    assert.equal([...outcomes].map(([name, outcome]) => [name, getReason(outcome)]), [
        ["sent", OutcomeKind.Unknown],
        ["not sent", RefusalReason.HostStopping],
    ]);
    assert.is(sentCount, 1);
});

test.run();

async function run({ readTime = clock.getTime(), body = Promise.resolve<Buffer>(Buffer.alloc(1)) }): Promise<Outcome> {
    const request = { ...REQUEST, timeoutMs: DEADLINE_MS };
    return await gateway.run(request, () => body, new AbortController().signal, readTime);
}

function getReason(outcome: Outcome): string {
    return outcome.kind === OutcomeKind.NotRun ? outcome.reason : outcome.kind;
}

function getDetail(outcome: Outcome): string {
    return outcome.kind === OutcomeKind.NotRun ? outcome.detail : outcome.kind;
}

function createConfiguration(): SuppliedConfiguration {
    const route = { name: "r", path: "/r/", methods: [], service: "orders", kind: RouteKind.Order };
    return new SuppliedConfiguration({
        version: 1,
        accounts: [],
        accountsByKey: new Map(),
        routes: [{
            ...route,
            host: "h",
            access: RouteAccess.Open,
            deadlineMs: DEADLINE_MS,
            targetMs: TARGET_MS,
            maxBodyBytes: 10,
        }],
        services: [{
            ...GATEWAY_SERVICE_DEFAULTS,
            name: "orders",
            floor: 0.7,
            retryBudget: 0.2,
            upstreams: [UPSTREAM],
        }],
        limits: LIMITS,
    });
}
