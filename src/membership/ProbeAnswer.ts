/** The result of an indirect probe. */
export interface ProbeAnswer {
    /** Whether the probed host answered. */
    readonly isAnswering: boolean;
}
