import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { SoakCall } from "./load/SoakCall.js";
import { checkPromises } from "./promises/checkPromises.js";
import type { SoakEvidence } from "./promises/SoakEvidence.js";
import type { SoakRun } from "./promises/SoakRun.js";

const BOUNDS = { contactMs: 3_000, applyMs: 2_000, drainMs: 2_000, recoveryMs: 15_000 };
const KEYS = [
    { key: "key-1", account: "clogs", isChanging: false, addedTime: 0, withdrawnTime: undefined },
    { key: "key-old", account: "soles", isChanging: true, addedTime: 0, withdrawnTime: 10_000 },
    { key: "key-new", account: "soles", isChanging: true, addedTime: 10_000, withdrawnTime: undefined },
];

const test = suite("the promises that the soak checks");

test("a served request breaks none", () => {
    assert.equal(findBroken([createCall()], [createRun()]), []);
});

test("an order that ran twice, or before or after a refusal", () => {
    assert.equal(findBroken([createCall()], [createRun(), createRun({ upstream: "u2" })]), ["TWICE"]);
    const refused = createCall({ response: { status: 503, seal: undefined, id: "a", body: "" } });
    assert.equal(findBroken([refused], [createRun({ time: 90_000 })]), ["REFUSED"]);
    assert.equal(findBroken([refused], []), []);
});

test("responses that are foreign, short, unsealed or of an upstream that did not run the request", () => {
    const response = createCall().response!;
    const changes = [{ id: "b" }, { body: "answer of" }, { seal: undefined }, { seal: "seal-u2" }];
    for (const change of changes) {
        assert.equal(findBroken([createCall({ response: { ...response, ...change } })], [createRun()]), ["MIXED"]);
    }
});

test("a run for another account, at another service, changed, or with the caller's key", () => {
    assert.equal(findBroken([createCall()], [createRun({ account: undefined })]), ["UNASKED"]);
    assert.equal(findBroken([createCall()], [createRun({ body: "other" })]), ["UNASKED"]);
    assert.equal(findBroken([createCall()], [createRun({ hasKey: true })]), ["UNASKED"]);
    assert.equal(findBroken([createCall()], [createRun({ service: "books" })]), ["ROUTE"]);
    assert.equal(findBroken([], [createRun()]), ["UNASKED"]);
});

test("more runs in five seconds than an account's rate and burst allow", () => {
    const calls = Array.from({ length: 246 }, (_, index) => createCall({ id: `a${index}`, response: undefined }));
    const runs = calls.map(({ id }, index) => createRun({ id, path: `/order/${id}`, time: 1_000 + index * 15 }));
    assert.equal(findBroken(calls, runs), ["QUOTA"]);
    assert.equal(findBroken(calls.slice(2), runs.slice(2)), []);
});

test("more arrivals beyond the first of each request than a service's retry budget allows", () => {
    const calls = Array.from({ length: 100 }, (_, index) => createCall({ id: `a${index}`, response: undefined }));
    const arrivals = calls.flatMap(({ id }) => [0, 1].map(() => ({ id, service: "orders", time: 1_050 })));
    assert.equal(findBroken(calls, [], [], arrivals), ["BUDGET"]);
    assert.equal(findBroken(calls, [], [], arrivals.slice(0, 156)), []);
    const spread = arrivals.map((arrival, index) => ({ ...arrival, time: 1_050 + index * 100 }));
    assert.equal(findBroken(calls, [], [], spread), []);
});

test("a withdrawn key that is served, a new key that is not, only at hosts in touch", () => {
    const old = createCall({ key: "key-old", sentTime: 12_100, endTime: 12_200 });
    const run = createRun({ account: "soles", time: 12_150 });
    assert.equal(findBroken([old], [run]), ["CONFIG"]);
    assert.equal(findBroken([old], [run], ["edge-0"]), []);
    assert.equal(findBroken([{ ...old, sentTime: 11_900 }], [run]), []);
    const denied = createCall({ key: "key-new", sentTime: 12_100, endTime: 12_200 });
    denied.response = { status: 401, seal: undefined, id: "a", body: "" };
    assert.equal(findBroken([denied], []), ["DENIED"]);
    assert.equal(findBroken([denied], [], ["store"]), []);
});

test("a request that reaches a leaving upstream too late, only through hosts and links in touch", () => {
    const late = createRun({ upstream: "u-leaving", time: 22_100 });
    const call = createCall({ response: undefined });
    assert.equal(findBroken([call], [late]), ["DRAIN"]);
    assert.equal(findBroken([call], [late], ["edge-1"]), []);
    assert.equal(findBroken([call], [late], ["address"]), []);
    assert.equal(findBroken([call], [{ ...late, time: 21_900 }]), []);
});

test.run();

function createCall(change: Partial<SoakCall> = {}): SoakCall {
    const id = change.id ?? "a";
    return {
        id,
        host: "edge-0",
        isOrder: true,
        path: `/order/${id}`,
        body: "x",
        key: "key-1",
        sentTime: 1_000,
        endTime: 1_100,
        response: { status: 200, seal: "seal-u1", id, body: `answer of u1 to /order/${id}` },
        error: undefined,
        ...change,
    };
}

function createRun(change: Partial<SoakRun> = {}): SoakRun {
    const run = { id: "a", upstream: "u1", service: "orders", account: "clogs", path: "/order/a", body: "x" };
    return { ...run, hasKey: false, time: 1_050, ...change };
}

/** Finds the promises broken; the disturbed targets were so all the time. */
function findBroken(
    calls: readonly SoakCall[],
    runs: readonly SoakRun[],
    disturbed: readonly string[] = [],
    arrivals: SoakEvidence["arrivals"] = [],
): readonly string[] {
    const evidence: SoakEvidence = {
        calls: new Map(calls.map(call => [call.id, call])),
        runs,
        arrivals,
        keys: { all: KEYS, find: key => KEYS.find(item => item.key === key) },
        disturbances: { isCalm: targets => !targets.some(target => disturbed.includes(target)) },
        leavingTimes: new Map([["u-leaving", 20_000]]),
        addresses: new Map([["u-leaving", "address"]]),
        findHosts: () => ["edge-1"],
    };
    return checkPromises(evidence, BOUNDS).map(({ promise }) => promise);
}
