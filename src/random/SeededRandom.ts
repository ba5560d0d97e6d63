import type { RandomSource } from "./RandomSource.js";

const UINT32_RANGE = 0x1_0000_0000;

/** A small deterministic pseudo-random number generator (mulberry32) for tests and experiments. */
export class SeededRandom implements RandomSource {
    #state: number;

    /** @param seed - Any integer; equal seeds give equal sequences. */
    constructor(seed: number) {
        this.#state = seed >>> 0;
    }

    /** Gets the next number, from 0 up to but not including 1. */
    getNext(): number {
        this.#state = (this.#state + 0x6d2b79f5) >>> 0;
        let mixed = this.#state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
    }
}
