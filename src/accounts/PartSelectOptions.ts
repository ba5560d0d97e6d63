/** What matters of a request when the part of a service that runs it is chosen. */
export interface PartSelectOptions {
    /** Whether the answer is large, so that it had better stay in the own zone. */
    readonly hasLargeAnswer?: boolean;
    /** Whether the parts of all zones are chosen among, as the own zone's may have no retry left. */
    readonly isAnyZoneAllowed?: boolean;
}
