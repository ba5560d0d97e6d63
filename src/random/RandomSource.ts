/** A source of random numbers, injected so that tests can use a fixed seed. */
export interface RandomSource {
    /** Gets the next number, from 0 up to but not including 1. */
    getNext(): number;
}
