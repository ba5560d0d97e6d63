import type { Measurement } from "./Measurement.js";
import type { ScenarioComparison } from "./ScenarioComparison.js";
import { ScenarioKind } from "./ScenarioKind.js";
import type { TargetCheck } from "./TargetCheck.js";

const MAX_DETECTION_RATIO = 1 / 3;
const MIN_GOOD_SHARE_RATIO = 0.95;
const MAX_REFUSED_SHARE_WITH_KILLED_HOST = 0.01;
const PERCENT = 100;

/**
 * Checks the figures against the performance targets. Targets whose scenarios were not run are omitted.
 * @param comparisons - The figures by scenario.
 */
export function checkTargets(comparisons: readonly ScenarioComparison[]): TargetCheck[] {
    const gray = findComparison(comparisons, ScenarioKind.GrayErrors);
    const healthy = findComparison(comparisons, ScenarioKind.Healthy);
    const overRate = findComparison(comparisons, ScenarioKind.AccountOverRate);
    const killed = findComparison(comparisons, ScenarioKind.HostKilled);
    return [
        ...gray === undefined ? [] : [checkDetection(gray), checkGrayEjections(gray)],
        ...healthy === undefined ? [] : [checkHealthyEjections(healthy), checkHealthyRefusals(healthy)],
        ...healthy === undefined || overRate === undefined ? [] : [checkAccountOverRate(healthy, overRate)],
        ...killed === undefined ? [] : [checkKilledHost(killed)],
    ];
}

function checkDetection(comparison: ScenarioComparison): TargetCheck {
    const current = getMedian(comparison.standard.map(run => run.detectionMs ?? Infinity));
    const baseline = getMedian(comparison.baseline.map(run => run.detectionMs ?? Infinity));
    return {
        target: "a half-failing upstream is detected in at most a third of the baseline's time",
        figure: `${current.toFixed(0)} ms against ${baseline.toFixed(0)} ms`,
        isMet: Number.isFinite(current) && current <= baseline * MAX_DETECTION_RATIO,
    };
}

function checkGrayEjections(comparison: ScenarioComparison): TargetCheck {
    const [current, baseline] = [getFalseEjections(comparison.standard), getFalseEjections(comparison.baseline)];
    return {
        target: "at no more false ejections than the baseline",
        figure: `${current} against ${baseline}`,
        isMet: current <= baseline,
    };
}

function checkHealthyEjections(comparison: ScenarioComparison): TargetCheck {
    const current = getFalseEjections(comparison.standard);
    const seconds = comparison.standard.length * comparison.scenario.durationMs / 1_000;
    return {
        target: "no false ejection under healthy load",
        figure: `${current} in ${seconds} s`,
        isMet: current === 0,
    };
}

function checkHealthyRefusals(comparison: ScenarioComparison): TargetCheck {
    const current = getHighest(comparison.standard, run => run.refusedInsideRate);
    return { target: "no refusal within the rate without a fault", figure: formatShare(current), isMet: current === 0 };
}

function checkAccountOverRate(healthy: ScenarioComparison, overRate: ScenarioComparison): TargetCheck {
    const shares = overRate.standard.flatMap((run, index) => {
        const alone = healthy.standard[index]?.goodShares ?? {};
        return Object.entries(run.goodShares).map(([account, share]) => share / (alone[account] ?? 1));
    });
    const worst = Math.min(...shares);
    return {
        target: "an account within its rate keeps 95 % of its good share while another sends five times its rate",
        figure: formatShare(worst),
        isMet: worst >= MIN_GOOD_SHARE_RATIO,
    };
}

function checkKilledHost(comparison: ScenarioComparison): TargetCheck {
    const current = getHighest(comparison.standard, run => run.refusedInsideRate);
    return {
        target: "refusals within the rate stay under 1 % with one killed host",
        figure: formatShare(current),
        isMet: current < MAX_REFUSED_SHARE_WITH_KILLED_HOST,
    };
}

function findComparison(
    comparisons: readonly ScenarioComparison[],
    kind: ScenarioKind,
): ScenarioComparison | undefined {
    return comparisons.find(comparison => comparison.scenario.kind === kind && comparison.standard.length > 0);
}

function getFalseEjections(runs: readonly Measurement[]): number {
    return runs.reduce((sum, run) => sum + run.falseEjections, 0);
}

function getHighest(runs: readonly Measurement[], get: (run: Measurement) => number): number {
    return Math.max(...runs.map(get));
}

function getMedian(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Infinity;
}

function formatShare(share: number): string {
    return `${(share * PERCENT).toFixed(2)} %`;
}
