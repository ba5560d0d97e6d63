import type { HostReport } from "./HostReport.js";

/** Parameters of the call that pulls changes from another host's replica. */
export interface PullReplicaParams {
    /** The sender's member id. */
    readonly sender: string;
    /** The store's epoch as the sender knows it. */
    readonly epoch: number;
    /** The revision up to which the sender has all changes. */
    readonly revision: number;
    /** How long the receiver may wait for something new before it answers, in milliseconds. */
    readonly waitMs: number;
    readonly reports: readonly HostReport[];
}
