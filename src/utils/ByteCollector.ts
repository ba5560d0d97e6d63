/** Capacity of the first block, in bytes. */
const MIN_CAPACITY = 1_024;

/** Collects bytes into one block, so that many small pieces take no more memory than a few large ones. */
export class ByteCollector {
    #block = Buffer.alloc(0);
    #length = 0;

    /** Gets the number of collected bytes. */
    getLength(): number {
        return this.#length;
    }

    /**
     * Adds a copy of a piece.
     * @param piece - The piece.
     */
    add(piece: Buffer): void {
        const length = this.#length + piece.length;
        if (length > this.#block.length) {
            const block = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY, length, 2 * this.#block.length));
            this.#block.copy(block, 0, 0, this.#length);
            this.#block = block;
        }
        piece.copy(this.#block, this.#length);
        this.#length = length;
    }

    /** Gets the collected bytes, which are valid until the next change. */
    getBytes(): Buffer {
        return this.#block.subarray(0, this.#length);
    }

    /** Removes the collected bytes; the block is used again. */
    removeAll(): void {
        this.#length = 0;
    }
}
