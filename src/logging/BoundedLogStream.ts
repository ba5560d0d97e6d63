import { createWriteStream } from "node:fs";
import type { Clock } from "../time/index.js";
import type { BoundedLogStreamOptions } from "./BoundedLogStreamOptions.js";

/** Sustained rate limit of a process, in lines per second. */
const LINES_PER_SECOND = 200;
/** Burst size of the rate limit, in lines. */
const BURST_LINES = 1_000;
/** Lines of the burst that low-priority lines may not use, reserved for failures and changes. */
const RESERVED_LINES = 400;
/** Maximum buffer for a slow reader, in bytes. */
const MAX_PENDING_BYTES = 512 * 1024;
const MS_PER_SECOND = 1_000;

/**
 * Writes log lines without ever blocking on the reader. Lines above the rate limit, or that don't fit into the buffer for
 * a slow reader, are dropped and counted; low-priority lines are dropped first.
 */
export class BoundedLogStream {
    readonly #clock: Clock;
    readonly #write: (text: string, onWritten: () => void) => void;
    readonly #isLowPriority: (line: string) => boolean;
    #tokens = BURST_LINES;
    #time: number;
    #pendingBytes = 0;
    #droppedLines = 0;

    /** @param options - The output and the check for low-priority lines. */
    constructor(options: BoundedLogStreamOptions) {
        this.#clock = options.clock;
        this.#write = options.write ?? createFileWriter(options.fileDescriptor);
        this.#isLowPriority = options.isLowPriority;
        this.#time = options.clock.getTime();
    }

    /** Gets the number of lines dropped so far. */
    getDroppedLines(): number {
        return this.#droppedLines;
    }

    /**
     * Writes a line, or drops it.
     * @param line - The line, including the line terminator.
     */
    write(line: string): void {
        this.#addTokens();
        const needed = this.#isLowPriority(line) ? RESERVED_LINES : 1;
        const bytes = Buffer.byteLength(line);
        if (this.#tokens < needed || this.#pendingBytes + bytes > MAX_PENDING_BYTES) {
            this.#droppedLines++;
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

/** Creates a writer on a file stream, which writes on the thread pool; process.stdout would block on a pipe's reader. */
function createFileWriter(fileDescriptor: number): (text: string, onWritten: () => void) => void {
    const stream = createWriteStream("", { fd: fileDescriptor, autoClose: false });
    stream.on("error", () => {
        // A failure of the log itself has nowhere to be reported.
    });
    return (text, onWritten) => void stream.write(text, onWritten);
}
