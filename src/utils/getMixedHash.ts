/**
 * Gets a hash of a 32-bit integer with the finalizer of MurmurHash3, so that each output bit depends on all input bits.
 * @param value - The integer.
 */
export function getMixedHash(value: number): number {
    let mixed = value >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
