import type { Decision } from "./Decision.js";

/** A decision with its subject and its reason. */
export interface DecisionRecord {
    readonly decision: Decision;
    /** The reason, as one sentence or a reason code. */
    readonly reason: string;
    readonly requestId?: string;
    readonly account?: string;
    readonly service?: string;
    readonly upstream?: string;
    readonly member?: string;
    readonly version?: number;
    /** An additional sentence for people who read the log. */
    readonly detail?: string;
    /** Values on which the decision is based. */
    readonly figures?: Readonly<Record<string, number | string>>;
}
