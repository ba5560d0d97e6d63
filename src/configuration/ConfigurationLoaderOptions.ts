import type { DecisionLog } from "../logging/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { Store } from "../store/index.js";

/** What a ConfigurationLoader works with. */
export interface ConfigurationLoaderOptions {
    readonly store: Store;
    readonly transport: PeerTransport;
    readonly decisions: DecisionLog;
    /**
     * Finds the addresses of peers that are likely to have a head version's chunks, the best first.
     * @param version - The head version.
     */
    readonly findPeers: (version: number) => readonly string[];
}
