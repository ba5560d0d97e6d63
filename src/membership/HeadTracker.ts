import type { Head, HeadInstaller } from "../head/index.js";

/** Installs heads in order of their versions and holds the one installed. */
export class HeadTracker {
    readonly #installer: HeadInstaller;
    readonly #listeners: ((head: Head, previous: Head | undefined) => void)[] = [];
    #installed: Head | undefined;
    #newest: Head | undefined;
    #attempt: Promise<void> | undefined;

    /** @param installer - Puts the configuration of a head in force. */
    constructor(installer: HeadInstaller) {
        this.#installer = installer;
    }

    /** Gets the head that this host has installed. */
    getHead(): Head | undefined {
        return this.#installed;
    }

    /** Gets the version of the installed head; 0 if there is none. */
    getVersion(): number {
        return this.#installed?.version ?? 0;
    }

    /**
     * Adds a listener that runs after each installation.
     * @param listener - Receives the head installed and the one before it.
     */
    addListener(listener: (head: Head, previous: Head | undefined) => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Installs a head unless it is older than the installed one; returns whether the installed head is as new now.
     * @param head - The head.
     */
    async apply(head: Head): Promise<boolean> {
        if (head.version > (this.#newest?.version ?? 0)) {
            this.#newest = head;
        }
        while (this.#attempt !== undefined && this.getVersion() < head.version) {
            await this.#attempt;
        }
        if (this.getVersion() < head.version) {
            this.#attempt = this.#applyNewest();
            await this.#attempt;
        }
        return this.getVersion() >= head.version;
    }

    async #applyNewest(): Promise<void> {
        const head = this.#newest!;
        try {
            await this.#installer.apply(head);
            const previous = this.#installed;
            this.#installed = head;
            for (const listener of this.#listeners) {
                listener(head, previous);
            }
        }
        catch {
            // The next answer that shows a newer head starts another attempt.
        }
        finally {
            this.#attempt = undefined;
        }
    }
}
