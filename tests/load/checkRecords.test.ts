import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AuditReport } from "../../src/load/AuditReport.js";
import { checkRecords } from "../../src/load/checkRecords.js";
import { RequestKind } from "../../src/load/RequestKind.js";
import type { RequestResult } from "../../src/load/RequestResult.js";
import { ResultKind } from "../../src/load/ResultKind.js";
import { RecordEnd, type UpstreamRecord } from "../../src/standins/index.js";

const result: RequestResult = {
    account: "a",
    requestKind: RequestKind.Order,
    reference: "r1",
    isRepeated: false,
    kind: ResultKind.Done,
    reason: undefined,
    status: 200,
    isWrong: false,
    attempts: 1,
    mayHaveRunBefore: false,
    requestId: undefined,
    startedAt: 0,
    durationMs: 1,
};
const record: UpstreamRecord = {
    upstream: "u1",
    method: "POST",
    path: "/orders?ref=r1",
    requestId: "r1",
    idempotencyKey: "p.r1-0",
    account: "a",
    receivedAt: 0,
    startedAt: 0,
    endedAt: 0,
    ran: true,
    end: RecordEnd.Answered,
    status: 200,
    isDraining: false,
    headers: ["x-account", "a"],
};

test("finds nothing in a clean run", () => {
    checkCounts(checkRecords([result], [record], ["secret"]), {});
});

test("finds an order that ran twice, but not one that was shed first", () => {
    checkCounts(checkRecords([result], [record, record], []), { doubles: 1 });
    checkCounts(checkRecords([result], [{ ...record, ran: false }, record], []), {});
    checkCounts(checkRecords([{ ...result, requestKind: RequestKind.Lookup }], [record, record], []), {});
});

test("finds two orders that ran under one key", () => {
    const other = { ...result, reference: "r2" };
    checkCounts(checkRecords([result, other], [record, { ...record, path: "/orders?ref=r2" }], []), { doubles: 1 });
});

test("finds a done answer without a run and a refusal with one", () => {
    checkCounts(checkRecords([result], [], []), { lost: 1 });
    const refused = { ...result, kind: ResultKind.Refused, reason: "overloaded" };
    checkCounts(checkRecords([refused], [record], []), { falseRefusals: 1 });
    checkCounts(checkRecords([refused], [{ ...record, ran: false }], []), {});
});

test("a lookup's refusal speaks of its last attempt, an order's of every attempt", () => {
    const refused = {
        ...result,
        kind: ResultKind.Refused,
        reason: "rate-exceeded",
        attempts: 2,
        mayHaveRunBefore: true,
    };
    checkCounts(checkRecords([refused], [record], []), { falseRefusals: 1 });
    const lookup = { ...refused, requestKind: RequestKind.Lookup };
    checkCounts(checkRecords([lookup], [record], []), {});
    checkCounts(checkRecords([{ ...lookup, requestId: "r1" }], [record], []), { falseRefusals: 1 });
});

test("finds a secret in a header's value, name or the path", () => {
    const leaky = { ...record, headers: ["cookie", "x=id.secret"] };
    checkCounts(checkRecords([result], [leaky], ["secret"]), { leakedKeys: 1 });
    checkCounts(checkRecords([result], [{ ...record, headers: ["secret", ""] }], ["secret"]), { leakedKeys: 1 });
    checkCounts(checkRecords([result], [{ ...record, path: "/orders?ref=r1&k=secret" }], ["secret"]), {
        leakedKeys: 1,
    });
});

test("finds a run under another account", () => {
    checkCounts(checkRecords([result], [{ ...record, account: "b" }], []), { wrongAccounts: 1 });
});

test.run();

function checkCounts(audit: AuditReport, expected: Partial<AuditReport>): void {
    const { doubles, lost, falseRefusals, leakedKeys, wrongAccounts } = audit;
    const none = { doubles: 0, lost: 0, falseRefusals: 0, leakedKeys: 0, wrongAccounts: 0 };
    assert.equal({ doubles, lost, falseRefusals, leakedKeys, wrongAccounts }, { ...none, ...expected });
}
