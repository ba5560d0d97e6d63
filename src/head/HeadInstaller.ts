import type { Head } from "./Head.js";

/** Applies the configuration of a head. */
export interface HeadInstaller {
    /**
     * Fetches the chunks that the head refers to, first from peers, and applies them. Rejects if one can't be fetched.
     * @param head - The head to apply.
     */
    apply(head: Head): Promise<void>;
}
