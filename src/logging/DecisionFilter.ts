/** A filter for decisions; every given field must match. */
export interface DecisionFilter {
    readonly requestId?: string;
    readonly account?: string;
    readonly service?: string;
    readonly upstream?: string;
    readonly member?: string;
}
