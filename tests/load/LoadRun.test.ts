import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FindingsError } from "../../src/errors/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { BodyCheck } from "../../src/load/BodyCheck.js";
import { checkAnswerBody } from "../../src/load/checkAnswerBody.js";
import { formatReport, type LoadReport, LoadRun, parseExperiment } from "../../src/load/index.js";
import { createAnswerBody } from "../../src/standins/createAnswerBody.js";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { FakeTransport } from "./FakeTransport.js";

const place = { entries: ["http://127.0.0.1:1"], records: [], targets: {}, processes: {}, keys: { a: "id.secret" } };
const content = {
    name: "small",
    seed: 3,
    durationMs: 10_000,
    longestWaitMs: 1_000,
    accounts: [{
        name: "a",
        rate: 20,
        phases: [{ atMs: 5_000, factor: 2 }],
        mix: [
            { kind: "lookup", path: "/stock", weight: 8 },
            { kind: "order", path: "/orders", weight: 2, resendShare: 0.5 },
        ],
    }],
};

test("every request sent has its result", async () => {
    const transport = new FakeTransport();
    transport.script.push(FakeTransport.createAnswer("not-run", { reason: "rate-exceeded" }, 429));
    transport.script.push(FakeTransport.createAnswer("unknown", { reason: "connection-lost" }, 502));
    const report = await run(transport);
    const sent = report.accounts.reduce((sum, account) => sum + account.sent, 0);
    assert.is(report.unaccounted, 0);
    assert.is(sent, transport.sent.length - 1);
    assert.is(report.isClean, true);
    checkSnapshot("load/report", formatReport(report));
});

test("requests without a result are reported and the run is not clean", async () => {
    const transport = new FakeTransport();
    transport.isSilent = true;
    const report = await run(transport);
    assert.is(report.unaccounted, transport.sent.length);
    assert.is(report.isClean, false);
});

test("records that can't be read make the run not clean", async () => {
    const clock = new FakeClock();
    const experiment = parseExperiment(content, { ...place, records: ["http://127.0.0.1:1/control/records"] });
    const report = new LoadRun({ experiment, clock, createTransport: () => new FakeTransport() }).run();
    await clock.run(20_000);
    const { auditFailure, isClean } = await report;
    assert.equal([auditFailure !== undefined, isClean], [true, false]);
});

test("a wrong answer makes the run not clean", async () => {
    const transport = new FakeTransport();
    transport.script.push(FakeTransport.createAnswer("done", { path: "/other" }));
    assert.is((await run(transport)).isClean, false);
});

test("all findings of an experiment are reported with their places", () => {
    const faulty = {
        ...content,
        durationMs: -1,
        accounts: [{ name: "a", rate: "x", mix: [] }],
        faults: [{ kind: "control", atMs: 0 }],
    };
    assert.equal(getPlaces(faulty), [
        "durationMs",
        "accounts.0.rate",
        "accounts.0.mix",
        "faults.0.target",
        "faults.0.body",
    ]);
    const unknown = {
        ...content,
        accounts: [...content.accounts, ...content.accounts],
        faults: [
            { kind: "control", atMs: 0, target: "t", body: {} },
            { kind: "signal", atMs: 0, process: "p", signal: "SIGKILL" },
        ],
    };
    assert.equal(getPlaces(unknown), ["accounts.1.name", "faults.0.target", "faults.1.process"]);
});

test("an answer's body is checked for its request and its size", async () => {
    const head = { requestId: "r", path: "/a?ref=r", upstream: "u", bytes: 100_000 };
    const whole = Buffer.concat([...createAnswerBody(head).chunks]);
    assert.is(await checkAnswerBody(Readable.from([whole]), "/a?ref=r"), BodyCheck.Right);
    assert.is(await checkAnswerBody(Readable.from([whole]), "/b?ref=r"), BodyCheck.Wrong);
    assert.is(await checkAnswerBody(Readable.from([whole.subarray(1)]), "/a?ref=r"), BodyCheck.Wrong);
    assert.is(await checkAnswerBody(Readable.from([whole.subarray(0, 90_000)]), "/a?ref=r"), BodyCheck.Cut);
    const failing = new Readable({ read: () => failing.destroy(new Error("cut")) });
    assert.is(await checkAnswerBody(failing, "/a?ref=r"), BodyCheck.Cut);
});

test.run();

async function run(transport: FakeTransport): Promise<LoadReport> {
    const clock = new FakeClock();
    const load = new LoadRun({ experiment: parseExperiment(content, place), clock, createTransport: () => transport });
    const report = load.run();
    await clock.run(20_000);
    return await report;
}

function getPlaces(value: unknown): string[] {
    try {
        parseExperiment(value, place);
        return [];
    }
    catch (error) {
        assert.instance(error, FindingsError);
        return (error as FindingsError).findings.map(finding => finding.place);
    }
}
