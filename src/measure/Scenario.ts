import type { ScenarioKind } from "./ScenarioKind.js";

/** A measured experiment: load within every account's rate, with one fault. */
export interface Scenario {
    readonly kind: ScenarioKind;
    readonly description: string;
    readonly durationMs: number;
    /** When the fault begins, in milliseconds from the start. */
    readonly faultAtMs: number;
    /** Faults in the format of the experiment file. */
    readonly faults: readonly object[];
    /** The upstreams that the fault affects; an ejection of another upstream is a false ejection. */
    readonly faultyUpstreams: readonly string[];
    /** Whether a faulty upstream has to be ejected. */
    readonly needsEjection: boolean;
    /** The account that exceeds its rate, if any. */
    readonly hotAccount: string | undefined;
    /** Share of the smallest account's requests that are lookups which crash every upstream that runs them, from 0 to 1. */
    readonly crashShare: number;
}
