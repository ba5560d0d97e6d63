/** Shows that a host answers. */
export interface CheckHostResult {
    /** The host's member id. */
    readonly id: string;
}
