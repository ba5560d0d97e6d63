import type { Head, HeadInstaller, MembershipView } from "../head/index.js";
import { createHeadDelta } from "./createHeadDelta.js";
import type { HeadDelta } from "./HeadDelta.js";
import type { HeadRequest } from "./HeadRequest.js";

const KEPT_VIEWS = 8;

/** Installs heads in order of their versions and holds the one installed. */
export class HeadTracker {
    readonly #installer: HeadInstaller;
    readonly #listeners: ((head: Head, previous: Head | undefined) => void)[] = [];
    /** The newest views installed, oldest first; heads with the same view share it. */
    readonly #views: MembershipView[] = [];
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
     * Creates the request for a newer head.
     * @param from - This host's peer address.
     */
    createRequest(from: string): HeadRequest {
        const head = this.#installed;
        const knownViews = head === undefined ? [] : [head.view.version, head.nextView?.version ?? 0];
        return { from, knownVersion: this.getVersion(), knownViews: knownViews.filter(version => version > 0) };
    }

    /**
     * Creates the answer to a request for a newer head; undefined while there is none.
     * @param request - Names the head that the host has.
     */
    createDelta(request: HeadRequest): HeadDelta | undefined {
        const find = (version: number): MembershipView | undefined => this.#findView(version);
        return this.#installed && createHeadDelta(this.#installed, request, find);
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
        const head = this.#mergeViews(this.#newest!);
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

    #mergeViews(head: Head): Head {
        const nextView = head.nextView && this.#getShared(head.nextView);
        return { ...head, view: this.#getShared(head.view), ...(nextView && { nextView }) };
    }

    #getShared(view: MembershipView): MembershipView {
        const known = this.#findView(view.version);
        if (known === undefined) {
            this.#views.push(view);
            this.#views.splice(0, this.#views.length - KEPT_VIEWS);
        }
        return known ?? view;
    }

    #findView(version: number): MembershipView | undefined {
        return this.#views.find(view => view.version === version);
    }
}
