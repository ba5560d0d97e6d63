/** Requests chunks from a peer. */
export interface ChunkGetParams {
    readonly digests: readonly string[];
}
