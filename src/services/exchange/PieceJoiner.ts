import { ByteCollector } from "../../utils/index.js";

/** Pieces of at least this length are passed on as they are, in bytes. */
const LARGE_PIECE_BYTES = 1_024;
const MAX_JOINED_BYTES = 4_096;

/**
 * Joins the small pieces of a body that arrive in one turn of the event loop. The HTTP client makes an object for each chunk, and a chunk may have
 * a single byte.
 */
export class PieceJoiner {
    readonly #pass: (bytes: Buffer) => void;
    readonly #collector = new ByteCollector();
    #isScheduled = false;

    /** @param pass - Receives the joined pieces, in their order. */
    constructor(pass: (bytes: Buffer) => void) {
        this.#pass = pass;
    }

    /**
     * Adds a piece; it is passed on by the end of the turn.
     * @param piece - The piece.
     */
    add(piece: Buffer): void {
        if (piece.length >= LARGE_PIECE_BYTES) {
            this.flush();
            this.#pass(piece);
            return;
        }
        this.#collector.add(piece);
        if (this.#collector.getLength() >= MAX_JOINED_BYTES) {
            this.flush();
        }
        else if (!this.#isScheduled) {
            this.#isScheduled = true;
            process.nextTick(() => {
                this.#isScheduled = false;
                this.flush();
            });
        }
    }

    /** Passes on what has been added. */
    flush(): void {
        if (this.#collector.getLength() > 0) {
            const bytes = Buffer.from(this.#collector.getBytes());
            this.#collector.clear();
            this.#pass(bytes);
        }
    }
}
