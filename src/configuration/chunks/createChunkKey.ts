/**
 * Creates the store key of a chunk.
 * @param digest - The chunk's digest.
 */
export function createChunkKey(digest: string): string {
    return `chunk/${digest}`;
}
