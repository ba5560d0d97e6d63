import type { Configuration } from "../configuration/index.js";
import type { ProcessMemory } from "../memory/index.js";
import type { PeerHandlers, PeerTraffic } from "../peers/index.js";
import type { AccountRunner } from "../requests/index.js";
import type { ServiceRunner } from "../services/index.js";

/** The dependencies of a peer listener. */
export interface PeerListenerOptions {
    readonly handlers: PeerHandlers;
    /** Runs callers' requests that other hosts forward; undefined if this host accepts none. */
    readonly accountRunner?: AccountRunner;
    readonly serviceRunner: Pick<ServiceRunner, "run">;
    /** Gets the current configuration. */
    readonly getConfiguration: () => Configuration;
    /** The secret shared by all entry hosts. */
    readonly secret: string;
    /** What requests may hold in this process; no limit if undefined. */
    readonly memory?: ProcessMemory;
    /** Counts the answers to forwarded requests. */
    readonly traffic?: PeerTraffic;
}
