import type { HostReport } from "./HostReport.js";

/** Asks another host for what its copy of the store has beyond the sender's. */
export interface PullReplicaParams {
    /** The sender's member id. */
    readonly sender: string;
    /** The revision up to which the sender knows all changes. */
    readonly revision: number;
    /** How long the answer may wait for something new, in milliseconds. */
    readonly waitMs: number;
    readonly reports: readonly HostReport[];
}
