import type { Clock } from "../time/index.js";
import type { PeerConnections } from "./PeerConnections.js";
import type { PeerTraffic } from "./PeerTraffic.js";

/** What calls and forwarding to other entry hosts need. */
export interface HttpPeerOptions {
    readonly connections: PeerConnections;
    readonly clock: Clock;
    /** The secret that all entry hosts share. */
    readonly secret: string;
    /** Counts the calls; left out where nobody asks. */
    readonly traffic?: PeerTraffic;
}
