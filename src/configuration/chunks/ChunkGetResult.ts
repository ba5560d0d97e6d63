/** The chunks that the peer had, up to the size of one answer. */
export interface ChunkGetResult {
    readonly texts: readonly string[];
}
