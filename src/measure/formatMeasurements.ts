import type { MeasuredPair } from "./MeasuredPair.js";
import type { Measurement } from "./Measurement.js";

const HEADINGS = ["experiment", "measure", "this version", "baseline", "ratio"];
const FIRST_NUMBER_COLUMN = 2;
const PERCENT = 100;

interface Measure {
    readonly name: string;
    readonly get: (runs: readonly Measurement[]) => number | undefined;
    readonly format: (value: number) => string;
    readonly appliesTo?: (pair: MeasuredPair) => boolean;
}

const formatMs = (value: number): string => `${value.toFixed(0)} ms`;
const formatShare = (value: number): string => `${(value * PERCENT).toFixed(2)} %`;
const formatCount = (value: number): string => value.toFixed(0);

const MEASURES: readonly Measure[] = [
    {
        name: "detection time, median",
        get: runs => getMedian(runs.map(run => run.detectionMs ?? Infinity)),
        format: value => value === Infinity ? "not detected" : formatMs(value),
        appliesTo: pair => pair.scenario.needsEjection,
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
 * Formats the figures of a deployment as a table.
 * @param title - The table's title.
 * @param pairs - The figures by scenario.
 */
export function formatMeasurements(title: string, pairs: readonly MeasuredPair[]): string {
    const rows = pairs.flatMap(pair =>
        MEASURES.filter(measure => measure.appliesTo?.(pair) ?? true).map(measure => formatRow(pair, measure))
    );
    return `${title}\n\n${formatTable([HEADINGS, ...rows])}\n`;
}

function formatRow(pair: MeasuredPair, measure: Measure): string[] {
    const [standard, baseline] = [pair.standard, pair.baseline].map(runs =>
        runs.length === 0 ? undefined : measure.get(runs)
    );
    return [
        pair.scenario.kind,
        measure.name,
        standard === undefined ? "not run" : measure.format(standard),
        baseline === undefined ? "not run" : measure.format(baseline),
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
