import type { PeerTransport } from "../../peers/index.js";
import type { Store } from "../../store/index.js";
import type { ChunkCache } from "./ChunkCache.js";

/** The dependencies of a ChunkFetcher. */
export interface ChunkFetcherOptions {
    readonly cache: ChunkCache;
    readonly store: Store;
    readonly transport: PeerTransport;
    /**
     * Finds the addresses of peers that are likely to have the chunks of a head version, the most likely first.
     * @param version - The head version.
     */
    readonly findPeers: (version: number) => readonly string[];
}
