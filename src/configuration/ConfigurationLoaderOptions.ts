import type { DecisionLog } from "../logging/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { Store } from "../store/index.js";

/** The dependencies of a ConfigurationLoader. */
export interface ConfigurationLoaderOptions {
    readonly store: Store;
    readonly transport: PeerTransport;
    readonly decisions: DecisionLog;
    /**
     * Finds the addresses of peers that are likely to have the chunks of a head version, the most likely first.
     * @param version - The head version.
     */
    readonly findPeers: (version: number) => readonly string[];
}
