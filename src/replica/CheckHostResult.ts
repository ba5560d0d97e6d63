/** Result of the call that checks whether a host answers. */
export interface CheckHostResult {
    /** The host's member id. */
    readonly id: string;
}
