/** A host's answer to changes that were passed on. */
export interface PushReplicaResult {
    /** The revision up to which the host knows all changes now. */
    readonly revision: number;
}
