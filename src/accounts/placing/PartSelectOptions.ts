/** Properties of a request that affect which part of a service runs it. */
export interface PartSelectOptions {
    /** Whether its body or its answer is large, so that traffic between zones should be avoided. */
    readonly isLarge?: boolean;
    /** How long it may wait for a slot without missing its target, in milliseconds. */
    readonly slackMs: number;
    /** Whether parts of all zones are candidates, as the own zone's retry budget may be spent. */
    readonly isAnyZoneAllowed?: boolean;
}
