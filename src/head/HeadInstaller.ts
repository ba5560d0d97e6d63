import type { Head } from "./Head.js";

/** Makes a head's configuration ready for requests. */
export interface HeadInstaller {
    /**
     * Fetches what the head refers to, from peers first, and puts it in force. Rejects if something can't be had.
     * @param head - The head to put in force.
     */
    apply(head: Head): Promise<void>;
}
