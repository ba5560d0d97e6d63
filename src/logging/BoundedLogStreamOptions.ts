import type { Clock } from "../time/index.js";

/** Where a bounded log stream writes and which lines come last. */
export interface BoundedLogStreamOptions {
    readonly clock: Clock;
    /** The open file, pipe or terminal that is written to. */
    readonly fileDescriptor: number;
    /** Writes instead of the file descriptor. */
    readonly write?: (text: string, onWritten: () => void) => void;
    /**
     * Whether a line is left out before others.
     * @param line - The line.
     */
    readonly isLowPriority: (line: string) => boolean;
}
