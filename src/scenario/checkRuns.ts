import { ChangeKind } from "../configuration/index.js";
import type { FakeUpstreamRecord } from "../fakes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { AcceptedChange } from "./AcceptedChange.js";
import type { CallResult } from "./CallResult.js";
import { SCENARIO_BURST } from "./SCENARIO_BURST.js";
import { SCENARIO_RATE } from "./SCENARIO_RATE.js";

const REFERENCE_PATTERN = /[?&]ref=([^&]+)/;
/** How long after acceptance a withdrawal or a drain may go unheeded: the freshness bound and a request's deadline. */
const CHANGE_BOUND_MS = 5_000;
const QUEUE_SECONDS = 2;
const MS_PER_SECOND = 1_000;

/**
 * Checks what callers were told, and what operators were, against what the upstreams ran.
 * @param results - The callers' results.
 * @param records - What reached the upstreams.
 * @param changes - The accepted changes.
 * @param keys - The keys of the client accounts by account, "<id>.<secret>".
 */
export function checkRuns(
    results: readonly CallResult[],
    records: readonly FakeUpstreamRecord[],
    changes: readonly AcceptedChange[],
    keys: ReadonlyMap<string, string>,
): readonly string[] {
    const runs = records.filter(record => record.isRun);
    const counts = new Map<string, number>();
    for (const reference of runs.map(getReference)) {
        counts.set(reference, (counts.get(reference) ?? 0) + 1);
    }
    const accounts = new Map(results.map(result => [result.reference, result.account]));
    const secrets = [...keys.values()].map(key => key.split(".")[1]!);
    return [
        ...results.filter(result => result.isOrder && (counts.get(result.reference) ?? 0) > 1)
            .map(result => `order ${result.reference} ran ${counts.get(result.reference)} times`),
        ...results.filter(result => isWholeRefusal(result) && counts.has(result.reference))
            .map(result => `${result.reference} was refused as not run (${result.reason}) and ran`),
        ...results.filter(result => result.kind === OutcomeKind.Done && !counts.has(result.reference))
            .map(result => `${result.reference} was answered as done and did not run`),
        ...results.filter(result => result.reason === "cut answer given as whole")
            .map(result => `${result.reference} got a cut answer as a whole one`),
        ...[...keys.keys()].flatMap(account => checkRate(account, runs, changes)),
        ...records.filter(record => secrets.some(secret => JSON.stringify(record.headers).includes(secret)))
            .map(record => `upstream ${record.upstream} saw a key with ${getReference(record)}`),
        ...runs.filter(record =>
            accounts.has(getReference(record)) && accounts.get(getReference(record)) !==
                record.account
        ).map(record => `${getReference(record)} ran for the account ${record.account}`),
        ...changes.flatMap(change => findLateRuns(change, runs, keys)),
    ];
}

function isWholeRefusal(result: CallResult): boolean {
    return result.kind === OutcomeKind.NotRun && (result.isOrder || !result.hasOpenAttempt);
}

/** Tokens are spent at admission, up to a request's deadline before it runs; a retry of a request spends none. */
function checkRate(
    account: string,
    runs: readonly FakeUpstreamRecord[],
    changes: readonly AcceptedChange[],
): readonly string[] {
    const hasOtherRate = changes.some(({ operation }) =>
        operation.kind === ChangeKind.PutAccount && operation.account.name === account
    );
    const seen = new Set<string>();
    let count = 0;
    let lowest = Infinity;
    let highest = 0;
    for (const record of hasOtherRate ? [] : runs.filter(run => run.account === account)) {
        const reference = getReference(record);
        if (!seen.has(reference)) {
            seen.add(reference);
            const earned = SCENARIO_RATE * record.time / MS_PER_SECOND;
            lowest = Math.min(lowest, count - earned);
            count++;
            highest = Math.max(highest, count - earned - lowest);
        }
    }
    const limit = SCENARIO_BURST + SCENARIO_RATE * QUEUE_SECONDS;
    return highest > limit ? [`${account} ran ${highest.toFixed()} requests beyond its rate, ${limit} allowed`] : [];
}

function findLateRuns(
    change: AcceptedChange,
    runs: readonly FakeUpstreamRecord[],
    keys: ReadonlyMap<string, string>,
): readonly string[] {
    const late = runs.filter(record => record.time > change.time + CHANGE_BOUND_MS);
    const { operation } = change;
    if (operation.kind === ChangeKind.WithdrawKey) {
        const account = [...keys].find(([, key]) => key.startsWith(`${operation.keyId}.`))?.[0];
        return late.filter(record => record.account === account)
            .map(record => `${getReference(record)} ran at ${record.time}, its key was withdrawn at ${change.time}`);
    }
    if (operation.kind === ChangeKind.DrainUpstream) {
        return late.filter(record => record.upstream === operation.upstream)
            .map(record =>
                `${record.upstream} ran ${getReference(record)} at ${record.time}, drained at ${change.time}`
            );
    }
    return [];
}

function getReference(record: FakeUpstreamRecord): string {
    return REFERENCE_PATTERN.exec(record.path)?.[1] ?? record.requestId;
}
