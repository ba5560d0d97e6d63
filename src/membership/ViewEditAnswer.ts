/** Whether a host has taken a wanted change of view into its next write. */
export interface ViewEditAnswer {
    readonly isTaken: boolean;
}
