/** Asks another host whether it answers. */
export interface CheckHostParams {
    /** The sender's member id. */
    readonly sender: string;
}
