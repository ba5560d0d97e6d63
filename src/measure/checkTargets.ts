import type { MeasuredPair } from "./MeasuredPair.js";
import type { Measurement } from "./Measurement.js";
import { ScenarioKind } from "./ScenarioKind.js";
import type { TargetCheck } from "./TargetCheck.js";

const MAX_DETECTION_RATIO = 1 / 3;
const MIN_SHARE_BESIDE_BUSY_ACCOUNT = 0.95;
const MAX_REFUSED_WITH_KILLED_HOST = 0.01;
const PERCENT = 100;

/**
 * Checks the figures against the targets; a target whose scenarios were not run is left out.
 * @param pairs - The figures by scenario.
 */
export function checkTargets(pairs: readonly MeasuredPair[]): TargetCheck[] {
    const gray = findPair(pairs, ScenarioKind.GrayErrors);
    const healthy = findPair(pairs, ScenarioKind.Healthy);
    const busy = findPair(pairs, ScenarioKind.BusyAccount);
    const killed = findPair(pairs, ScenarioKind.HostKilled);
    return [
        ...gray === undefined ? [] : [checkDetection(gray), checkGrayEjections(gray)],
        ...healthy === undefined ? [] : [checkHealthyEjections(healthy), checkHealthyRefusals(healthy)],
        ...healthy === undefined || busy === undefined ? [] : [checkBusyAccount(healthy, busy)],
        ...killed === undefined ? [] : [checkKilledHost(killed)],
    ];
}

function checkDetection(pair: MeasuredPair): TargetCheck {
    const own = getMedian(pair.standard.map(run => run.detectionMs ?? Infinity));
    const baseline = getMedian(pair.baseline.map(run => run.detectionMs ?? Infinity));
    return {
        target: "a half-failing upstream is detected in at most a third of the baseline's time",
        figure: `${own.toFixed(0)} ms against ${baseline.toFixed(0)} ms`,
        isMet: Number.isFinite(own) && own <= baseline * MAX_DETECTION_RATIO,
    };
}

function checkGrayEjections(pair: MeasuredPair): TargetCheck {
    const [own, baseline] = [getFalseEjections(pair.standard), getFalseEjections(pair.baseline)];
    return {
        target: "at no more false ejections than the baseline",
        figure: `${own} against ${baseline}`,
        isMet: own <= baseline,
    };
}

function checkHealthyEjections(pair: MeasuredPair): TargetCheck {
    const own = getFalseEjections(pair.standard);
    const seconds = pair.standard.length * pair.scenario.durationMs / 1_000;
    return { target: "no false ejection under healthy load", figure: `${own} in ${seconds} s`, isMet: own === 0 };
}

function checkHealthyRefusals(pair: MeasuredPair): TargetCheck {
    const own = getHighest(pair.standard, run => run.refusedInsideRate);
    return { target: "no refusal inside the rate without a fault", figure: formatShare(own), isMet: own === 0 };
}

function checkBusyAccount(healthy: MeasuredPair, busy: MeasuredPair): TargetCheck {
    const shares = busy.standard.flatMap((run, index) => {
        const alone = healthy.standard[index]?.goodShares ?? {};
        return Object.entries(run.goodShares).map(([account, share]) => share / (alone[account] ?? 1));
    });
    const worst = Math.min(...shares);
    return {
        target: "an account inside its rate gets 95 % of what it gets alone beside one at five times its rate",
        figure: formatShare(worst),
        isMet: worst >= MIN_SHARE_BESIDE_BUSY_ACCOUNT,
    };
}

function checkKilledHost(pair: MeasuredPair): TargetCheck {
    const own = getHighest(pair.standard, run => run.refusedInsideRate);
    return {
        target: "refusals inside the rate stay under 1 % with one killed host",
        figure: formatShare(own),
        isMet: own < MAX_REFUSED_WITH_KILLED_HOST,
    };
}

function findPair(pairs: readonly MeasuredPair[], kind: ScenarioKind): MeasuredPair | undefined {
    return pairs.find(pair => pair.scenario.kind === kind && pair.standard.length > 0);
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
