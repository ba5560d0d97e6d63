import type { UpstreamState } from "./UpstreamState.js";

/** The status of an upstream that operators see. */
export interface UpstreamStatus {
    readonly upstream: string;
    readonly service: string;
    readonly zone: string;
    readonly state: UpstreamState;
    /** Why it is in that state. */
    readonly reason: string;
    /** When that state began, in milliseconds since the Unix epoch. */
    readonly since: number;
    readonly running: number;
    /** Slots that may be used now. */
    readonly limit: number;
    readonly slots: number;
    readonly errorEvidence: number;
    readonly latencyEvidence: number;
    /** Evidence at which it is ejected. */
    readonly threshold: number;
    /** Median time to the first byte in milliseconds. */
    readonly medianMs: number | undefined;
    readonly errorRate: number;
}
