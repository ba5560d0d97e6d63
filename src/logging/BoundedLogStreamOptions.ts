import type { Clock } from "../time/index.js";

/** The output of a bounded log stream and its check for low-priority lines. */
export interface BoundedLogStreamOptions {
    readonly clock: Clock;
    /** The open file, pipe or terminal to write to. */
    readonly fileDescriptor: number;
    /** Replaces writes to the file descriptor, for tests. */
    readonly write?: (text: string, onWritten: () => void) => void;
    /**
     * Whether a line is dropped before others.
     * @param line - The line.
     */
    readonly isLowPriority: (line: string) => boolean;
}
