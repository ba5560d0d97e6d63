import type { DecisionRecord } from "./DecisionRecord.js";

/** Records decisions, for the log and for "fuchsiapath explain". */
export interface DecisionLog {
    /**
     * Records a decision.
     * @param record - The decision.
     */
    record(record: DecisionRecord): void;
}
