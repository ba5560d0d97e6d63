import type { Configuration } from "../configuration/index.js";
import type { PeerHandlers, PeerTraffic } from "../peers/index.js";
import type { AccountRunner } from "../requests/index.js";
import type { ServiceRunner } from "../services/index.js";

/** What an entry host answers other entry hosts with. */
export interface PeerListenerOptions {
    readonly handlers: PeerHandlers;
    /** Runs forwarded callers' requests; undefined on a host that forwards none. */
    readonly accountRunner?: AccountRunner;
    readonly serviceRunner: ServiceRunner;
    /** Gets the configuration in force. */
    readonly getConfiguration: () => Configuration;
    /** The secret that all entry hosts share. */
    readonly secret: string;
    /** Counts the answers to forwarded requests. */
    readonly traffic?: PeerTraffic;
}
