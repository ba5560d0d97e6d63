/** The requested chunks that the peer has, up to the size limit of one answer. */
export interface ChunkGetResult {
    readonly texts: readonly string[];
}
