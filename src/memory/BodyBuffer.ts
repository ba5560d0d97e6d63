/** Bodies up to this size are kept in a plain buffer, in bytes. */
const PLAIN_BYTES = 64 * 1024;

/** The bytes of a body that is being read. It grows in place, and gives its memory back at once if the body is not used. */
export class BodyBuffer {
    readonly #maxBytes: number;
    #resizable: ArrayBuffer | undefined;
    #buffer: Buffer;
    #length = 0;

    /**
     * @param maxBytes - The largest content, in bytes.
     * @param length - The exact length if it is known, in bytes.
     */
    constructor(maxBytes: number, length: number | undefined) {
        this.#maxBytes = length ?? maxBytes;
        this.#buffer = Buffer.allocUnsafeSlow(0);
        this.#applyCapacity(length ?? Math.min(PLAIN_BYTES, maxBytes));
    }

    /** Gets the length of the content, in bytes. */
    getLength(): number {
        return this.#length;
    }

    /**
     * Gets the capacity that is needed to add bytes, in bytes.
     * @param bytes - How many bytes.
     */
    getCapacityFor(bytes: number): number {
        let capacity = this.#buffer.length;
        while (capacity < this.#length + bytes) {
            capacity = Math.min(this.#maxBytes, capacity * 2);
        }
        return capacity;
    }

    /**
     * Adds bytes, which must not exceed the limit.
     * @param bytes - The bytes.
     */
    add(bytes: Buffer): void {
        this.#applyCapacity(this.getCapacityFor(bytes.length));
        bytes.copy(this.#buffer, this.#length);
        this.#length += bytes.length;
    }

    /** Gets the content. */
    getContent(): Buffer {
        return this.#buffer.subarray(0, this.#length);
    }

    /** Gives the memory back; the content must not have been used. */
    close(): void {
        this.#buffer = Buffer.allocUnsafeSlow(0);
        this.#length = 0;
        this.#resizable?.resize(0);
    }

    #applyCapacity(capacity: number): void {
        if (capacity <= this.#buffer.length) {
            return;
        }
        if (this.#resizable === undefined) {
            const previous = this.#buffer;
            this.#buffer = capacity <= PLAIN_BYTES ? Buffer.allocUnsafeSlow(capacity) : this.#createResizable(capacity);
            previous.copy(this.#buffer, 0, 0, this.#length);
            return;
        }
        this.#resizable.resize(capacity);
        this.#buffer = Buffer.from(this.#resizable);
    }

    /** Only pages that are written to become resident. */
    #createResizable(capacity: number): Buffer {
        this.#resizable = new ArrayBuffer(capacity, { maxByteLength: this.#maxBytes });
        return Buffer.from(this.#resizable);
    }
}
