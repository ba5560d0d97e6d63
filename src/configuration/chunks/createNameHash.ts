const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Creates a 32-bit hash of a name (FNV-1a with the finalizer of MurmurHash3), by which items are spread over chunks.
 * @param name - The name.
 */
export function createNameHash(name: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < name.length; index++) {
        hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
