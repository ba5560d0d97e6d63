import { ByteCollector } from "../../utils/index.js";

/** Pieces of at least this length are passed on as they are, in bytes. */
const LARGE_PIECE_BYTES = 1_024;
const MAX_JOINED_BYTES = 4_096;

/**
 * Joins the small pieces of a body that arrive in one turn of the event loop. The HTTP client makes an object for each chunk, and a chunk may have
 * a single byte.
 */
export class PieceJoiner {
    readonly #write: (bytes: Buffer) => void;
    readonly #collector = new ByteCollector();
    #isScheduled = false;

    /** @param write - Receives the joined pieces, in their order. */
    constructor(write: (bytes: Buffer) => void) {
        this.#write = write;
    }

    /**
     * Adds a piece; it is passed on by the end of the turn.
     * @param piece - The piece.
     */
    add(piece: Buffer): void {
        if (piece.length >= LARGE_PIECE_BYTES) {
            this.writePending();
            this.#write(piece);
            return;
        }
        this.#collector.add(piece);
        if (this.#collector.getLength() >= MAX_JOINED_BYTES) {
            this.writePending();
        }
        else if (!this.#isScheduled) {
            this.#isScheduled = true;
            process.nextTick(() => {
                this.#isScheduled = false;
                this.writePending();
            });
        }
    }

    /** Writes what has been added. */
    writePending(): void {
        if (this.#collector.getLength() > 0) {
            const bytes = Buffer.from(this.#collector.getBytes());
            this.#collector.removeAll();
            this.#write(bytes);
        }
    }
}
