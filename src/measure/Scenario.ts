import type { ScenarioKind } from "./ScenarioKind.js";

/** A measured experiment: load inside every account's rate with one fault. */
export interface Scenario {
    readonly kind: ScenarioKind;
    readonly description: string;
    readonly durationMs: number;
    /** When the fault begins, in milliseconds from the start. */
    readonly faultAtMs: number;
    /** Faults as the experiment file has them. */
    readonly faults: readonly object[];
    /** The upstreams that the fault touches; ejecting another is false. */
    readonly faultyUpstreams: readonly string[];
    /** Whether the upstream has to be ejected. */
    readonly needsEjection: boolean;
    /** The account that goes beyond its rate, if any. */
    readonly hotAccount: string | undefined;
    /** Share of the lookups of the smallest account that crash each upstream that runs them. */
    readonly crashShare: number;
}
