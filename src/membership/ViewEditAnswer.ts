/** The answer to a requested change of view. */
export interface ViewEditAnswer {
    /** Whether the host will include the change in its next write. */
    readonly isTaken: boolean;
}
