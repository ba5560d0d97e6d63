import type { Clock } from "../time/index.js";
import type { PeerConnections } from "./PeerConnections.js";
import type { PeerTraffic } from "./PeerTraffic.js";

/** Dependencies of calls and forwarding to other entry hosts. */
export interface HttpPeerOptions {
    readonly connections: PeerConnections;
    readonly clock: Clock;
    /** The secret that all entry hosts share. */
    readonly secret: string;
    /** This host's availability zone, which is named to other hosts; not named if undefined. */
    readonly zone?: string;
    /** Counts the calls; left out if they are not measured. */
    readonly traffic?: PeerTraffic;
}
