import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CauseKind, findExplanation, formatExplanation } from "../../src/explanation/index.js";
import type { Explanation } from "../../src/explanation/index.js";
import { Decision } from "../../src/logging/index.js";
import type { DecisionRecord } from "../../src/logging/index.js";
import { runCommandLine } from "../../src/operators/index.js";
import { checkSnapshot } from "../support/checkSnapshot.js";

const START = Date.UTC(2026, 0, 1);
const HOUR_MS = 3_600_000;
const FINAL = { figures: { ms: 40, route: "orders" }, account: "shop", version: 3 };

const test = suite("explanation");
let folder: string;

test.before.each(() => {
    folder = mkdtempSync(join(tmpdir(), "fuchsiapath-explanation-"));
});

test.after.each(() => rmSync(folder, { recursive: true }));

test("an order whose upstream failed is explained by the upstream's answer and its earlier ejections", async () => {
    const entry = writeLog("entry", [{ decision: Decision.Answered, reason: "status 500", requestId: "r1", ...FINAL }]);
    const service = writeLog("service", [
        createEjection("u2"),
        createEjection("u1"),
        { decision: Decision.Restored, reason: "its trial lookups passed", service: "orders", upstream: "u1" },
        createDispatch("r1", "status 500"),
        createEjection("u1"),
    ]);
    await checkExplanation("upstream-failed", "r1", [entry, service]);
});

test("a refusal for lack of capacity is explained by the unhealthy upstreams at each host that refused", async () => {
    const entry = writeLog("entry", [
        createRetry("r2", "no-upstream", 1),
        createRetry("r2", "overloaded", 2),
        { decision: Decision.Refused, reason: "overloaded", requestId: "r2", ...FINAL, detail: "No slot." },
    ]);
    const first = writeLog("zone-a", [createEjection("u1"), createEjection("u2"), createRefusal("r2", "no-upstream")]);
    const second = writeLog("zone-b", [createEjection("u3"), createStart(), createRefusal("r2.2", "overloaded")]);
    await checkExplanation("service-short", "r2", [second, first, entry]);
});

test("a refusal for lack of capacity names the upstreams whose request rate was limited then", async () => {
    const createLimit = (upstream: string, requestsPerSecond?: number): DecisionRecord => ({
        decision: Decision.RequestRateNamed,
        reason: requestsPerSecond === undefined ? "the limit has ended" : "the upstream names a limit",
        service: "orders",
        upstream,
        figures: requestsPerSecond === undefined ? {} : { requestsPerSecond },
    });
    const entry = writeLog("entry", [
        createRetry("r9", "overloaded", 1),
        { decision: Decision.Refused, reason: "overloaded", requestId: "r9", ...FINAL, detail: "No slot." },
    ]);
    const host = writeLog("zone-a", [
        createLimit("u1", 2.5),
        createEjection("u3"),
        createLimit("u2", 1),
        createLimit("u3", 1),
        createLimit("u2"),
        createRefusal("r9", "overloaded"),
        createLimit("u4", 1),
    ]);
    const { cause } = await findExplanation("r9", [entry, host]);
    assert.is(cause.kind, CauseKind.InsufficientCapacity);
    assert.match(cause.summary, "1 of its upstreams were ejected or unhealthy there, 2 had named a limit");
    assert.equal(cause.evidence.map(({ upstream }) => upstream), ["u3", "u1", "u3"]);
});

test("an order whose service host was killed is explained by the lost connection and the host's restarts", async () => {
    const entry = writeLog("entry", [
        {
            decision: Decision.DependencyChanged,
            reason: "service-host-lost",
            requestId: "r3",
            service: "orders",
            member: "zone-a",
            figures: { error: "socket hang up" },
        },
        { decision: Decision.OutcomeUnknown, reason: "connection-lost", requestId: "r3", ...FINAL, detail: "Lost." },
    ]);
    const killed = writeLog("zone-a", [createStart(), createStart()]);
    await checkExplanation("service-host-lost", "r3", [entry, killed]);
});

test("a refusal within the rate is explained by the unreachable owner of the account", async () => {
    const entry = writeLog("entry", [
        {
            decision: Decision.DependencyChanged,
            reason: "rate-owner-silent",
            account: "shop",
            member: "owner",
            figures: { error: "timeout" },
        },
        {
            ...FINAL,
            decision: Decision.Refused,
            reason: "rate-exceeded",
            requestId: "r4",
            figures: { ms: 1, route: "orders", rateBasis: "part" },
        },
    ]);
    await checkExplanation("rate-owner-lost", "r4", [entry]);
});

test("clocks that differ by an hour between hosts do not change the causal order", async () => {
    const entry = writeLog("entry", [
        createRetry("r5", "status-500", 1),
        { decision: Decision.Answered, reason: "status 200", requestId: "r5", ...FINAL },
    ], HOUR_MS);
    const first = writeLog("zone-a", [createDispatch("r5", "status 500")]);
    const second = writeLog("zone-b", [createDispatch("r5.2", "status 200")], 2 * HOUR_MS);
    for (const files of [[entry, first, second], [second, entry, first], [first, second, entry]]) {
        const { path, cause } = await findExplanation("r5", files);
        assert.equal(path.map(item => item.host), ["zone-a", "entry", "zone-b", "entry"]);
        assert.is(cause.kind, CauseKind.Served);
    }
});

test("ids that only share a prefix belong to other requests", async () => {
    const entry = writeLog("entry", [
        { decision: Decision.Answered, reason: "status 500", requestId: "r66", ...FINAL },
        { decision: Decision.Answered, reason: "status 500", requestId: "r6.x", ...FINAL },
    ]);
    assert.is((await findExplanation("r6", [entry])).cause.kind, CauseKind.NotFound);
});

test("lines and files that can't be read are reported with their place, and the others are still used", async () => {
    const entry = join(folder, "entry.log");
    const whole = formatLine("entry", { decision: Decision.Answered, reason: "status 200", requestId: "r7", ...FINAL });
    writeFileSync(
        entry,
        ["not of the program", "{\"decision\": cut", "{\"decision\":\"answered\"}", `12.5 entry ${whole}`].join("\n"),
    );
    const { findings, cause } = await findExplanation("r7", [join(folder, "missing.log"), entry]);
    assert.is(cause.kind, CauseKind.Served);
    assert.equal(findings.map(finding => finding.place.replace(folder, "")), [
        "/missing.log",
        "/entry.log:2",
        "/entry.log:3",
    ]);
});

test("each final decision has a cause", async () => {
    const causes: [string, string, CauseKind][] = [
        [Decision.Refused, "rate-exceeded", CauseKind.RateExceeded],
        [Decision.Refused, "unknown-key", CauseKind.RequestRejected],
        [Decision.Refused, "request-quarantined", CauseKind.Quarantined],
        [Decision.Refused, "host-stopping", CauseKind.HostNotServing],
        [Decision.Refused, "host-unreachable", CauseKind.ServiceHostLost],
        [Decision.Refused, "deadline-exceeded", CauseKind.CallerDisconnected],
        [Decision.OutcomeUnknown, "deadline-exceeded", CauseKind.DeadlineExceeded],
        [Decision.OutcomeUnknown, "connection-lost", CauseKind.InternalError],
        [Decision.Answered, "status 502", CauseKind.InternalError],
        [Decision.Answered, "status 404", CauseKind.Served],
    ];
    for (const [decision, reason, kind] of causes) {
        const entry = writeLog("entry", [{ decision: decision as Decision, reason, requestId: "r8", ...FINAL }]);
        assert.is((await findExplanation("r8", [entry])).cause.kind, kind, `${decision} ${reason}`);
    }
    const unfinished = writeLog("entry", [createRetry("r8", "overloaded", 1)]);
    assert.is((await findExplanation("r8", [unfinished])).cause.kind, CauseKind.HostTerminated);
});

test("the command writes text or JSON, and its exit code shows an unknown request or missing files", async () => {
    const entry = writeLog("entry", [{ decision: Decision.Answered, reason: "status 200", requestId: "r9", ...FINAL }]);
    const known = await runCommand(["explain", "r9", entry, "--json"]);
    assert.is(known.code, 0);
    assert.is((JSON.parse(known.text) as Explanation).cause.kind, CauseKind.Served);
    assert.is((await runCommand(["explain", "r0", entry])).code, 1);
    assert.is((await runCommand(["explain", "r9"])).code, 2);
});

test.run();

async function checkExplanation(name: string, requestId: string, files: readonly string[]): Promise<void> {
    const explanation = await findExplanation(requestId, files);
    assert.is(explanation.cause.kind, name);
    checkSnapshot(`explanation/${name}`, formatExplanation(explanation).replaceAll(`${folder}/`, ""));
}

function writeLog(host: string, records: readonly DecisionRecord[], offsetMs = 0): string {
    const file = join(folder, `${host}.log`);
    writeFileSync(file, records.map((record, index) => formatLine(host, record, offsetMs + index)).join("\n") + "\n");
    return file;
}

function formatLine(hostname: string, record: DecisionRecord, offsetMs = 0): string {
    return JSON.stringify({ name: "fuchsiapath-edge", hostname, time: START + offsetMs, ...record });
}

function createEjection(upstream: string): DecisionRecord {
    return {
        decision: Decision.Ejected,
        reason: "failing: status 500",
        service: "orders",
        upstream,
        figures: { errorEvidence: 3.8, threshold: 3 },
    };
}

function createDispatch(requestId: string, reason: string): DecisionRecord {
    return {
        decision: Decision.Dispatched,
        reason,
        requestId,
        service: "orders",
        upstream: "u1",
        figures: { ms: 2, running: 1, state: "healthy" },
    };
}

function createRefusal(requestId: string, reason: string): DecisionRecord {
    return { decision: Decision.Refused, reason, requestId, service: "orders" };
}

function createRetry(requestId: string, reason: string, attempt: number): DecisionRecord {
    return { decision: Decision.Retried, reason, requestId, service: "orders", figures: { attempt } };
}

function createStart(): DecisionRecord {
    return { decision: Decision.Started, reason: "incarnation i1", member: "zone-a" };
}

async function runCommand(args: readonly string[]): Promise<{ code: number; text: string; }> {
    let text = "";
    const code = await runCommandLine(args, {}, { write: line => void (text += line), writeError: () => {} });
    return { code, text };
}
