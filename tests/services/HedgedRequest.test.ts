import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { Decision, DecisionHistory } from "../../src/logging/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../../src/outcomes/index.js";
import type { ServiceRequest } from "../../src/services/index.js";
import type { PooledUpstream } from "../../src/services/pools/PooledUpstream.js";
import { HedgedRequest } from "../../src/services/queue/HedgedRequest.js";
import type { HedgedResult } from "../../src/services/queue/HedgedResult.js";
import { createServiceRequest } from "../support/createServiceRequest.js";

const PATIENCE_MS = 1_800;
const DEADLINE_MS = 3_000;

/** What an upstream makes of the request. */
interface Run {
    readonly afterMs: number;
    readonly outcome: Outcome;
}

interface Bench {
    readonly result: HedgedResult;
    readonly endTime: number;
    /** The requests by the name of their upstream. */
    readonly sent: ReadonlyMap<string, ServiceRequest>;
    readonly cancelled: readonly string[];
    readonly decisions: DecisionHistory;
}

const SECOND_OUTCOMES: readonly Outcome[] = [
    createNotRun(RefusalReason.Overloaded, "The upstream shed the request."),
    createNotRun(RefusalReason.NoUpstream, "No connection."),
    createUnknown(UnknownReason.ConnectionLost, "The connection to the upstream was lost."),
    createUnknown(UnknownReason.AnswerCut, "The upstream's answer was cut."),
    createDone(500),
    createDone(503),
];

for (const second of SECOND_OUTCOMES) {
    const name = second.kind === OutcomeKind.Done ? `status ${second.status}` : second.reason;
    test(`the first upstream's answer is used if the second attempt ends with ${name}`, async () => {
        const { result, endTime, cancelled } = await runHedged({
            first: { afterMs: 2_500, outcome: createDone(200) },
            second: { afterMs: 100, outcome: second },
        });
        assert.is(getStatus(result), 200);
        assert.is(result.pooled.getUpstream().name, "first");
        assert.is(endTime, 2_500);
        assert.equal(cancelled, []);
    });
}

test("the second upstream's answer is used if it comes first, and only then is the first attempt cancelled", async () => {
    const { result, endTime, cancelled, sent, decisions } = await runHedged({
        first: { afterMs: 2_900, outcome: createDone(200) },
        second: { afterMs: 300, outcome: createDone(200) },
    });
    assert.is(result.pooled.getUpstream().name, "second");
    assert.equal(result.others.map(other => other.getUpstream().name), ["first"]);
    assert.is(endTime, PATIENCE_MS + 300);
    assert.equal(cancelled, ["first"]);
    const { timeoutMs, sentBefore, excludedUpstreams } = sent.get("second")!;
    assert.equal({ timeoutMs, sentBefore, excludedUpstreams }, {
        timeoutMs: DEADLINE_MS - PATIENCE_MS,
        sentBefore: 1,
        excludedUpstreams: ["first"],
    });
    assert.is(decisions.find({}).filter(({ decision }) => decision === Decision.Retried).length, 1);
});

test("the first attempt continues while no other upstream is free, and a second one starts once one is", async () => {
    const first = { afterMs: 2_900, outcome: createDone(200) };
    const second = { afterMs: 300, outcome: createDone(200) };
    const never = await runHedged({ first, second, freeMs: Infinity });
    assert.is(never.result.pooled.getUpstream().name, "first");
    assert.is(never.endTime, 2_900);
    const later = await runHedged({ first, second, freeMs: 2_050 });
    assert.is(later.result.pooled.getUpstream().name, "second");
    assert.is(later.endTime, 2_400);
});

test("an overdue request stays at its first upstream if its sender does not grant another one", async () => {
    const { result, endTime, sent } = await runHedged({
        first: { afterMs: 2_900, outcome: createDone(200) },
        second: { afterMs: 300, outcome: createDone(200) },
        isGranted: false,
    });
    assert.is(getStatus(result), 200);
    assert.is(endTime, 2_900);
    assert.equal([...sent.keys()], ["first"]);
});

test("a request that may have run at one upstream is not reported as refused by the other", async () => {
    const unknown = createUnknown(UnknownReason.ConnectionLost, "The connection to the upstream was lost.");
    const refused = createNotRun(RefusalReason.Overloaded, "The upstream shed the request.");
    for (const [first, second] of [[unknown, refused], [refused, unknown]] as const) {
        const { result } = await runHedged({
            first: { afterMs: 2_000, outcome: first },
            second: { afterMs: 100, outcome: second },
        });
        assert.is(result.outcome.kind, OutcomeKind.Unknown);
        assert.is(result.lostAttempts.length, 1);
    }
});

test.run();

async function runHedged(
    { first, second, freeMs = 0, isGranted = true }: {
        readonly first: Run;
        readonly second: Run;
        readonly freeMs?: number;
        readonly isGranted?: boolean;
    },
): Promise<Bench> {
    const clock = new FakeClock();
    const decisions = new DecisionHistory(clock);
    const sent = new Map<string, ServiceRequest>();
    const cancelled: string[] = [];
    const run = async (pooled: PooledUpstream, request: ServiceRequest, _deadline: number, signal: AbortSignal) => {
        const { name } = pooled.getUpstream();
        sent.set(name, request);
        const { afterMs, outcome } = name === "first" ? first : second;
        try {
            await clock.wait(afterMs, signal);
        }
        catch {
            cancelled.push(name);
            return createUnknown(UnknownReason.StillRunning, "The request was given up while it ran.");
        }
        return outcome;
    };
    const request = createServiceRequest({ isIdempotent: true, timeoutMs: DEADLINE_MS, hasOtherAttempt: true });
    const start = clock.getTime();
    const hedged = new HedgedRequest(
        {
            clock,
            decisions,
            runner: { run },
            findPatience: () => PATIENCE_MS,
            claimRetry: async () => isGranted,
            claimSlot: () => clock.getTime() < freeMs ? undefined : createUpstream("second"),
        },
        request,
        start + DEADLINE_MS,
        new AbortController().signal,
    );
    let endTime = 0;
    const result = hedged.run(createUpstream("first")).finally(() => {
        endTime = clock.getTime() - start;
    });
    await clock.run(DEADLINE_MS);
    return { result: await result, endTime, sent, cancelled, decisions };
}

function createUpstream(name: string): PooledUpstream {
    return { getUpstream: () => ({ name }) } as PooledUpstream;
}

function createDone(status: number): Outcome {
    return { kind: OutcomeKind.Done, status, headers: {}, body: Readable.from([]) };
}

function getStatus({ outcome }: HedgedResult): number | undefined {
    return outcome.kind === OutcomeKind.Done ? outcome.status : undefined;
}
