/** Parameters of the call that checks whether another host answers. */
export interface CheckHostParams {
    /** The sender's member id. */
    readonly sender: string;
}
