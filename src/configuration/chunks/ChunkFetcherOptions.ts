import type { PeerTransport } from "../../peers/index.js";
import type { Store } from "../../store/index.js";
import type { ChunkCache } from "./ChunkCache.js";

/** What a ChunkFetcher works with. */
export interface ChunkFetcherOptions {
    readonly cache: ChunkCache;
    readonly store: Store;
    readonly transport: PeerTransport;
    /**
     * Finds the addresses of peers that are likely to have a head version's chunks, the best first.
     * @param version - The head version.
     */
    readonly findPeers: (version: number) => readonly string[];
}
