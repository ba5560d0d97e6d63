import type { Decision } from "./Decision.js";

/** One decision with what it was about and why it was taken. */
export interface DecisionRecord {
    readonly decision: Decision;
    /** Why, in one sentence or as a reason code. */
    readonly reason: string;
    readonly requestId?: string;
    readonly account?: string;
    readonly service?: string;
    readonly upstream?: string;
    readonly member?: string;
    readonly version?: number;
    /** One sentence more for a person who reads the log. */
    readonly detail?: string;
    /** Figures that the decision rests on. */
    readonly figures?: Readonly<Record<string, number | string>>;
}
