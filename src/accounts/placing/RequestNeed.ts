/** What a request needs of the zone that runs it. */
export interface RequestNeed {
    /** How long it may wait for a slot without missing its target, in milliseconds. */
    readonly slackMs: number;
    /** Whether its body or its answer is large, so that traffic between zones should be avoided. */
    readonly isLarge: boolean;
    /** Whether an upstream has shed it. */
    readonly wasShed: boolean;
}
