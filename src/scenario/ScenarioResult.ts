/** How a run of a scenario with one seed went. */
export interface ScenarioResult {
    readonly seed: number;
    /** Broken expectations, each with its step and the seed. */
    readonly findings: readonly string[];
    /** What happened, in order. */
    readonly trace: readonly string[];
    /** How many requests of each load ended in which way. */
    readonly counts: Readonly<Record<string, number>>;
}
