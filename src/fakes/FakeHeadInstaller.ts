import { FuchsiapathError } from "../errors/index.js";
import type { Head, HeadInstaller } from "../head/index.js";

/** A head installer whose installations can fail. */
export class FakeHeadInstaller implements HeadInstaller {
    /** Whether installations fail, as when a chunk is not available. */
    isFailing = false;
    /** The head installed last. */
    head: Head | undefined;

    /**
     * Installs a head.
     * @param head - The head.
     */
    async apply(head: Head): Promise<void> {
        if (this.isFailing) {
            throw new FuchsiapathError("A chunk is not available.");
        }
        this.head = head;
    }
}
