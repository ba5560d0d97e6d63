/** The source of random numbers, so that every decision can run against a fixed seed. */
export interface RandomSource {
    /** Gets the next number, from 0 up to but not including 1. */
    getNext(): number;
}
