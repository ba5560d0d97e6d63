import { FuchsiapathError } from "../errors/index.js";
import type { Head, HeadInstaller } from "../head/index.js";

/** A head installer that can be made to fail. */
export class FakeHeadInstaller implements HeadInstaller {
    /** Whether installations fail, as when a chunk can't be had. */
    isFailing = false;
    /** The head installed last. */
    head: Head | undefined;

    /**
     * Installs a head.
     * @param head - The head.
     */
    async apply(head: Head): Promise<void> {
        if (this.isFailing) {
            throw new FuchsiapathError("A chunk can't be had.");
        }
        this.head = head;
    }
}
