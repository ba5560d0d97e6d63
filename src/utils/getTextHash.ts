import { getMixedHash } from "./getMixedHash.js";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Gets a 32-bit hash of a text, computed as FNV-1a with the finalizer of MurmurHash3.
 * @param text - The text.
 */
export function getTextHash(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return getMixedHash(hash);
}
