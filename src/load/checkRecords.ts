import type { UpstreamRecord } from "../standins/index.js";
import type { AuditReport } from "./AuditReport.js";
import { RequestKind } from "./RequestKind.js";
import type { RequestResult } from "./RequestResult.js";
import { ResultKind } from "./ResultKind.js";

const EXAMPLES_OF_EACH = 5;
const REFERENCE_PATTERN = /[?&]ref=([^&]+)/;

/**
 * Checks the callers' results against the upstreams' records.
 * @param results - All results.
 * @param records - All records of all upstreams.
 * @param secrets - The secret parts of all keys.
 */
export function checkRecords(
    results: readonly RequestResult[],
    records: readonly UpstreamRecord[],
    secrets: readonly string[],
): AuditReport {
    const runs = createRuns(records);
    const requestIds = new Set(records.filter(record => record.ran).map(record => record.requestId));
    const accounts = new Map(results.map(result => [result.reference, result.account]));
    const doubles = findDoubles(results, records, runs);
    const lost = results.filter(result => result.kind === ResultKind.Done && !runs.has(result.reference));
    const refused = results.filter(result => isFalseRefusal(result, runs, requestIds));
    const leaks = records.filter(record => hasSecret(record, secrets));
    const strangers = records.filter(record => isWrongAccount(record, accounts));
    return {
        records: records.length,
        doubles: doubles.length,
        lost: lost.length,
        falseRefusals: refused.length,
        leakedKeys: leaks.length,
        wrongAccounts: strangers.length,
        examples: [
            ...doubles.slice(0, EXAMPLES_OF_EACH).map(name => `double: ${name}`),
            ...lost.slice(0, EXAMPLES_OF_EACH).map(result => `lost: ${result.reference}`),
            ...refused.slice(0, EXAMPLES_OF_EACH).map(result => formatRefusal(result)),
            ...leaks.slice(0, EXAMPLES_OF_EACH).map(record => `leaked key: ${record.upstream} ${record.path}`),
            ...strangers.slice(0, EXAMPLES_OF_EACH).map(record => `wrong account: ${record.account} ${record.path}`),
        ],
    };
}

function createRuns(records: readonly UpstreamRecord[]): Map<string, number> {
    const runs = new Map<string, number>();
    for (const record of records) {
        const reference = getReference(record);
        if (record.ran && reference !== undefined) {
            runs.set(reference, (runs.get(reference) ?? 0) + 1);
        }
    }
    return runs;
}

function findDoubles(
    results: readonly RequestResult[],
    records: readonly UpstreamRecord[],
    runs: ReadonlyMap<string, number>,
): string[] {
    const orders = new Set(
        results.filter(result => result.requestKind === RequestKind.Order).map(result => result.reference),
    );
    const references = [...orders].filter(reference => (runs.get(reference) ?? 0) > 1);
    const keys = new Map<string, Set<string>>();
    for (const record of records.filter(candidate => candidate.ran && candidate.idempotencyKey !== undefined)) {
        const key = `${record.account} ${record.idempotencyKey}`;
        keys.set(key, (keys.get(key) ?? new Set()).add(getReference(record) ?? record.path));
    }
    const reused = [...keys].filter(([, named]) => named.size > 1).map(([key]) => key);
    return [...references, ...reused];
}

/** A lookup's refusal speaks of its last attempt alone, an order's of the order. */
function isFalseRefusal(
    result: RequestResult,
    runs: ReadonlyMap<string, number>,
    requestIds: ReadonlySet<string | undefined>,
): boolean {
    if (result.kind !== ResultKind.Refused) {
        return false;
    }
    const speaksOfAll = result.requestKind === RequestKind.Order || !result.mayHaveRunBefore;
    const hasRunItself = result.requestId !== undefined && requestIds.has(result.requestId);
    return hasRunItself || (speaksOfAll && runs.has(result.reference));
}

function formatRefusal(result: RequestResult): string {
    return `false refusal: ${result.requestKind} ${result.reference} ${result.reason}`;
}

function getReference(record: UpstreamRecord): string | undefined {
    return REFERENCE_PATTERN.exec(record.path)?.[1];
}

function hasSecret(record: UpstreamRecord, secrets: readonly string[]): boolean {
    const seen = [...record.headers, record.path];
    return seen.some(text => secrets.some(secret => text.includes(secret)));
}

function isWrongAccount(record: UpstreamRecord, accounts: ReadonlyMap<string, string>): boolean {
    const reference = getReference(record);
    const expected = reference === undefined ? undefined : accounts.get(reference);
    return expected !== undefined && record.account !== undefined && record.account !== expected;
}
