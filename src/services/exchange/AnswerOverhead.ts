/** Interim heads that an upstream may send before its answer. */
const MAX_INTERIM_HEADS = 16;
/** What may come beside the content of an answer, whatever its length, in bytes: heads, trailers, and what is received but not parsed yet. */
const MAX_FIXED_BYTES = 256 * 1024;
/** How much of the framing may come for each byte of content, in bytes; chunks of five bytes have as much. */
const MAX_BYTES_PER_CONTENT_BYTE = 1;

/** Checks what comes beside the content of an answer: interim heads, and bytes of heads, chunk framing and trailers. They may have no end. */
export class AnswerOverhead {
    #interimHeads = 0;
    #contentBytes = 0;

    /** Records an interim head. */
    recordInterimHead(): void {
        this.#interimHeads++;
    }

    /**
     * Records a piece of the content.
     * @param bytes - Its length, in bytes.
     */
    recordContent(bytes: number): void {
        this.#contentBytes += bytes;
    }

    /**
     * Finds what is too much; undefined if nothing is.
     * @param receivedBytes - All bytes that were received for the answer so far.
     */
    findExcess(receivedBytes: number): string | undefined {
        if (this.#interimHeads > MAX_INTERIM_HEADS) {
            return `more than ${MAX_INTERIM_HEADS} interim heads`;
        }
        const overheadBytes = receivedBytes - this.#contentBytes;
        return overheadBytes > MAX_FIXED_BYTES + MAX_BYTES_PER_CONTENT_BYTE * this.#contentBytes
            ? `more framing than content: ${overheadBytes} bytes for ${this.#contentBytes}`
            : undefined;
    }
}
