/**
 * Gets a hash of a whole number of 32 bits in which each bit depends on all of them: the finalizer of MurmurHash3.
 * @param value - The number.
 */
export function getMixedHash(value: number): number {
    let mixed = value >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
