import type { RandomSource } from "./RandomSource.js";

/** Random numbers from Math.random. */
export class SystemRandom implements RandomSource {
    /** Gets the next number, from 0 up to but not including 1. */
    getNext(): number {
        return Math.random();
    }
}
