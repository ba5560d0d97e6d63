/** Asks a peer for chunks. */
export interface ChunkGetParams {
    readonly digests: readonly string[];
}
