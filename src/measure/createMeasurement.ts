import type { AccountReport, LoadReport } from "../load/index.js";
import { RequestKind } from "../load/index.js";
import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import type { Measurement } from "./Measurement.js";
import type { Scenario } from "./Scenario.js";

/**
 * Computes the figures of a run.
 * @param scenario - The scenario that was run.
 * @param report - The load tool's report.
 * @param decisions - The decisions that the entry hosts logged during the run.
 */
export function createMeasurement(
    scenario: Scenario,
    report: LoadReport,
    decisions: readonly LoggedDecision[],
): Measurement {
    const insideRate = report.accounts.filter(account => account.account !== scenario.hotAccount);
    const goodShares = createGoodShares(insideRate);
    const [worstAccount, worstGoodShare] = Object.entries(goodShares).reduce((worst, entry) =>
        entry[1] < worst[1] ? entry : worst
    );
    const sent = getTotal(insideRate, account => account.sent);
    const refused = getTotal(insideRate, account => getSum(account.refused));
    const unsettled = getTotal(insideRate, account => getSum(account.unknown) + getSum(account.failed));
    const lookups = insideRate.filter(account => account.requestKind === RequestKind.Lookup);
    return {
        ...createEjectionFigures(scenario, report, decisions),
        worstGoodShare,
        worstAccount,
        goodShares,
        worstP99Ms: Math.max(...lookups.map(account => account.p99Ms)),
        refusedInsideRate: refused / sent,
        unsettled: unsettled / sent,
        latenessP99Ms: report.latenessP99Ms,
        violations: getViolations(report),
    };
}

function createEjectionFigures(
    scenario: Scenario,
    report: LoadReport,
    decisions: readonly LoggedDecision[],
): Pick<Measurement, "detectionMs" | "falseEjections"> {
    const faultAt = report.faults[0]?.causedAt ?? report.startedAt + scenario.faultAtMs;
    const ejections = decisions.filter(decision =>
        decision.decision === Decision.Ejected && decision.time >= report.startedAt
    );
    const isCorrect = (ejection: LoggedDecision): boolean =>
        ejection.time >= faultAt && scenario.faultyUpstreams.includes(ejection.upstream ?? "");
    const correctTimes = ejections.filter(isCorrect).map(ejection => ejection.time);
    return {
        detectionMs: scenario.needsEjection && correctTimes.length > 0
            ? Math.min(...correctTimes) - faultAt
            : undefined,
        falseEjections: ejections.length - correctTimes.length,
    };
}

function createGoodShares(reports: readonly AccountReport[]): Record<string, number> {
    const names = [...new Set(reports.map(report => report.account))];
    return Object.fromEntries(names.map(name => {
        const accountReports = reports.filter(report => report.account === name);
        const good = getTotal(accountReports, report => report.done - report.doneWithError - report.wrong);
        return [name, good / getTotal(accountReports, report => report.sent)];
    }));
}

function getViolations(report: LoadReport): number {
    const { audit } = report;
    const audited = audit === undefined
        ? 0
        : audit.doubles + audit.lost + audit.falseRefusals + audit.leakedKeys + audit.wrongAccounts;
    return audited + report.unaccounted + getTotal(report.accounts, account => account.wrong);
}

function getTotal(reports: readonly AccountReport[], get: (report: AccountReport) => number): number {
    return reports.reduce((sum, report) => sum + get(report), 0);
}

function getSum(counts: Readonly<Record<string, number>>): number {
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
