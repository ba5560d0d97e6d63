/** Which decisions to find; every field that is given must match. */
export interface DecisionFilter {
    readonly requestId?: string;
    readonly account?: string;
    readonly service?: string;
    readonly upstream?: string;
    readonly member?: string;
}
