import type { Measurement } from "./Measurement.js";
import type { ScenarioComparison } from "./ScenarioComparison.js";

const HEADINGS = ["experiment", "measure", "this version", "baseline", "ratio"];
const FIRST_NUMBER_COLUMN = 2;
const PERCENT = 100;

interface Metric {
    readonly name: string;
    readonly get: (runs: readonly Measurement[]) => number | undefined;
    readonly format: (value: number) => string;
    readonly appliesTo?: (comparison: ScenarioComparison) => boolean;
}

const formatMs = (value: number): string => `${value.toFixed(0)} ms`;
const formatShare = (value: number): string => `${(value * PERCENT).toFixed(2)} %`;
const formatCount = (value: number): string => value.toFixed(0);

const METRICS: readonly Metric[] = [
    {
        name: "detection time, median",
        get: runs => getMedian(runs.map(run => run.detectionMs ?? Infinity)),
        format: value => value === Infinity ? "not detected" : formatMs(value),
        appliesTo: comparison => comparison.scenario.needsEjection,
    },
    { name: "false ejections, sum", get: runs => getSum(runs.map(run => run.falseEjections)), format: formatCount },
    {
        name: "worst-served account, good share",
        get: runs => Math.min(...runs.map(run => run.worstGoodShare)),
        format: formatShare,
    },
    {
        name: "worst account's lookup p99",
        get: runs => Math.max(...runs.map(run => run.worstP99Ms)),
        format: formatMs,
    },
    {
        name: "refused inside the rate",
        get: runs => getSum(runs.map(run => run.refusedInsideRate)) / runs.length,
        format: formatShare,
    },
    {
        name: "unknown or failed",
        get: runs => getSum(runs.map(run => run.unsettled)) / runs.length,
        format: formatShare,
    },
    {
        name: "load tool late, worst p99",
        get: runs => Math.max(...runs.map(run => run.latenessP99Ms)),
        format: formatMs,
    },
    { name: "violations, sum", get: runs => getSum(runs.map(run => run.violations)), format: formatCount },
];

/**
 * Formats a deployment's figures as a table.
 * @param title - The table's title.
 * @param comparisons - The figures by scenario.
 */
export function formatMeasurements(title: string, comparisons: readonly ScenarioComparison[]): string {
    const rows = comparisons.flatMap(comparison =>
        METRICS.filter(metric => metric.appliesTo?.(comparison) ?? true).map(metric => formatRow(comparison, metric))
    );
    return `${title}\n\n${formatTable([HEADINGS, ...rows])}\n`;
}

function formatRow(comparison: ScenarioComparison, metric: Metric): string[] {
    const [standard, baseline] = [comparison.standard, comparison.baseline].map(runs =>
        runs.length === 0 ? undefined : metric.get(runs)
    );
    return [
        comparison.scenario.kind,
        metric.name,
        standard === undefined ? "not run" : metric.format(standard),
        baseline === undefined ? "not run" : metric.format(baseline),
        formatRatio(standard, baseline),
    ];
}

function formatRatio(standard: number | undefined, baseline: number | undefined): string {
    if (standard === undefined || baseline === undefined || baseline === 0 || !Number.isFinite(standard + baseline)) {
        return "-";
    }
    return (standard / baseline).toFixed(2);
}

function getMedian(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)]!;
}

function getSum(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}

function formatTable(rows: readonly string[][]): string {
    const widths = HEADINGS.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
    const formatCell = (cell: string, column: number): string =>
        column < FIRST_NUMBER_COLUMN ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!);
    return rows.map(row => row.map(formatCell).join("  ").trimEnd()).join("\n");
}
