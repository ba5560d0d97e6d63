import type { AccountReport } from "./AccountReport.js";
import type { LoadReport } from "./LoadReport.js";

const HEADINGS = [
    "account",
    "kind",
    "sent",
    "done",
    "errors",
    "refused",
    "unknown",
    "failed",
    "wrong",
    "p50 ms",
    "p99 ms",
    "why not done",
];
const TEXT_COLUMNS = new Set([0, 1, HEADINGS.length - 1]);

/**
 * Formats a report as a table for a person.
 * @param report - The report.
 */
export function formatReport(report: LoadReport): string {
    return [
        `${report.name}, seed ${report.seed}, ${(report.durationMs / 1_000).toFixed(1)} s`,
        "",
        formatTable([HEADINGS, ...report.accounts.map(formatRow), formatTotal(report.accounts)]),
        "",
        `the load tool sent 99 of 100 requests at most ${report.latenessP99Ms.toFixed(1)} ms late`,
        ...report.faults.map(fault => `fault: ${fault.description}${formatFailure(fault.failure)}`),
        ...formatAudit(report),
    ].join("\n") + "\n";
}

function formatRow(report: AccountReport): string[] {
    return [
        report.account,
        report.requestKind,
        String(report.sent),
        String(report.done),
        String(report.doneWithError),
        String(getSum(report.refused)),
        String(getSum(report.unknown)),
        String(getSum(report.failed)),
        String(report.wrong),
        report.p50Ms.toFixed(1),
        report.p99Ms.toFixed(1),
        formatReasons({ ...report.refused, ...report.unknown, ...report.failed }),
    ];
}

function formatTotal(reports: readonly AccountReport[]): string[] {
    const getTotal = (get: (report: AccountReport) => number): string =>
        String(reports.reduce((sum, report) => sum + get(report), 0));
    return [
        "all",
        "",
        getTotal(report => report.sent),
        getTotal(report => report.done),
        getTotal(report => report.doneWithError),
        getTotal(report => getSum(report.refused)),
        getTotal(report => getSum(report.unknown)),
        getTotal(report => getSum(report.failed)),
        getTotal(report => report.wrong),
        "",
        "",
        "",
    ];
}

function formatAudit(report: LoadReport): string[] {
    const { audit } = report;
    const counts = audit === undefined ? "no upstream records were read" : [
        `upstream records ${audit.records}`,
        `doubles ${audit.doubles}`,
        `lost ${audit.lost}`,
        `false refusals ${audit.falseRefusals}`,
        `leaked keys ${audit.leakedKeys}`,
        `wrong accounts ${audit.wrongAccounts}`,
    ].join(", ");
    return [
        `not accounted for ${report.unaccounted}, ${counts}`,
        ...(report.auditFailure === undefined ? [] : [`the records could not be read: ${report.auditFailure}`]),
        ...(audit?.examples ?? []),
        report.isClean ? "clean" : "NOT CLEAN",
    ];
}

function formatFailure(failure: string | undefined): string {
    return failure === undefined ? "" : ` FAILED: ${failure}`;
}

function formatReasons(counts: Readonly<Record<string, number>>): string {
    return Object.entries(counts).map(([reason, count]) => `${reason} ${count}`).join(", ");
}

function getSum(counts: Readonly<Record<string, number>>): number {
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

function formatTable(rows: readonly string[][]): string {
    const widths = HEADINGS.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
    return rows.map(row =>
        row.map((cell, column) =>
            TEXT_COLUMNS.has(column) ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)
        )
            .join("  ").trimEnd()
    ).join("\n");
}
