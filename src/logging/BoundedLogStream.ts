import { createWriteStream } from "node:fs";
import type { Clock } from "../time/index.js";
import type { BoundedLogStreamOptions } from "./BoundedLogStreamOptions.js";

/** Lines a second that a process may write for long. */
const LINES_PER_SECOND = 200;
/** Lines that may come at once after a quiet time. */
const BURST_LINES = 1_000;
/** Lines of the burst that are kept for what went wrong or has changed. */
const RESERVED_LINES = 400;
/** Bytes that may wait for a reader that is slow. */
const MAX_PENDING_BYTES = 512 * 1024;
const MS_PER_SECOND = 1_000;

/**
 * Writes log lines without ever waiting for the reader. Lines beyond the rate, or that a slow reader has no room for, are
 * left out and counted; those on requests that went well are left out first.
 */
export class BoundedLogStream {
    readonly #clock: Clock;
    readonly #write: (text: string, onWritten: () => void) => void;
    readonly #isMinor: (line: string) => boolean;
    #tokens = BURST_LINES;
    #time: number;
    #pendingBytes = 0;
    #leftOut = 0;

    /** @param options - Where to write and which lines come last. */
    constructor(options: BoundedLogStreamOptions) {
        this.#clock = options.clock;
        this.#write = options.write ?? createFileWriter(options.fileDescriptor);
        this.#isMinor = options.isLowPriority;
        this.#time = options.clock.getTime();
    }

    /** Gets how many lines were left out so far. */
    getDroppedLines(): number {
        return this.#leftOut;
    }

    /**
     * Writes a line, or leaves it out.
     * @param line - The line with its end.
     */
    write(line: string): void {
        this.#addTokens();
        const needed = this.#isMinor(line) ? RESERVED_LINES : 1;
        const bytes = Buffer.byteLength(line);
        if (this.#tokens < needed || this.#pendingBytes + bytes > MAX_PENDING_BYTES) {
            this.#leftOut++;
            return;
        }
        this.#tokens--;
        this.#pendingBytes += bytes;
        this.#write(line, () => {
            this.#pendingBytes -= bytes;
        });
    }

    #addTokens(): void {
        const now = this.#clock.getTime();
        this.#tokens = Math.min(BURST_LINES, this.#tokens + (now - this.#time) * LINES_PER_SECOND / MS_PER_SECOND);
        this.#time = now;
    }
}

/** A file stream writes in a thread of its own, unlike standard output, which waits for a pipe's reader. */
function createFileWriter(fileDescriptor: number): (text: string, onWritten: () => void) => void {
    const stream = createWriteStream("", { fd: fileDescriptor, autoClose: false });
    stream.on("error", () => {
        // There is nowhere left to report it to.
    });
    return (text, onWritten) => void stream.write(text, onWritten);
}
