import type { RandomSource } from "./RandomSource.js";

/** The random numbers of the machine. */
export class SystemRandom implements RandomSource {
    /** Gets the next number, from 0 up to but not including 1. */
    getNext(): number {
        return Math.random();
    }
}
