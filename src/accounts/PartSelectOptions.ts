/** Properties of a request that affect which part of a service runs it. */
export interface PartSelectOptions {
    /** Whether the answer is large, so that traffic between zones should be avoided. */
    readonly hasLargeAnswer?: boolean;
    /** Whether parts of all zones are candidates, as the own zone's retry budget may be spent. */
    readonly isAnyZoneAllowed?: boolean;
}
