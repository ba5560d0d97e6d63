import type { Head, HeadInstaller, MembershipView } from "../head/index.js";
import { createHeadDelta } from "./createHeadDelta.js";
import type { HeadDelta } from "./HeadDelta.js";
import type { HeadRequest } from "./HeadRequest.js";

const MAX_KEPT_VIEWS = 8;

/** Installs heads in order of their versions and holds the installed head. */
export class HeadTracker {
    readonly #installer: HeadInstaller;
    readonly #listeners: ((head: Head, previous: Head | undefined) => void)[] = [];
    /** The newest views, oldest first; heads with the same view share one object. */
    readonly #views: MembershipView[] = [];
    #installedHead: Head | undefined;
    #newestHead: Head | undefined;
    #installation: Promise<void> | undefined;

    /** @param installer - Applies the configuration of a head. */
    constructor(installer: HeadInstaller) {
        this.#installer = installer;
    }

    /** Gets the head that this host has installed. */
    getHead(): Head | undefined {
        return this.#installedHead;
    }

    /** Gets the version of the installed head; 0 if there is none. */
    getVersion(): number {
        return this.#installedHead?.version ?? 0;
    }

    /**
     * Adds a listener that runs after each installation.
     * @param listener - Receives the installed head and the previous one.
     */
    addListener(listener: (head: Head, previous: Head | undefined) => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Creates the request for a newer head.
     * @param from - This host's peer address.
     */
    createRequest(from: string): HeadRequest {
        const head = this.#installedHead;
        const knownViews = head === undefined ? [] : [head.view.version, head.nextView?.version ?? 0];
        return { from, knownVersion: this.getVersion(), knownViews: knownViews.filter(version => version > 0) };
    }

    /**
     * Creates the answer to a request for a newer head; undefined while no head is installed.
     * @param request - Gives the head version and the views that the requesting host has.
     */
    createDelta(request: HeadRequest): HeadDelta | undefined {
        const findView = (version: number): MembershipView | undefined => this.#findView(version);
        return this.#installedHead && createHeadDelta(this.#installedHead, request, findView);
    }

    /**
     * Installs a head unless the installed one is as new; returns whether the installed head is now at least as new.
     * @param head - The head.
     */
    async apply(head: Head): Promise<boolean> {
        if (head.version > (this.#newestHead?.version ?? 0)) {
            this.#newestHead = head;
        }
        while (this.#installation !== undefined && this.getVersion() < head.version) {
            await this.#installation;
        }
        if (this.getVersion() < head.version) {
            this.#installation = this.#applyNewestHead();
            await this.#installation;
        }
        return this.getVersion() >= head.version;
    }

    async #applyNewestHead(): Promise<void> {
        const head = this.#mergeViews(this.#newestHead!);
        try {
            await this.#installer.apply(head);
            const previous = this.#installedHead;
            this.#installedHead = head;
            for (const listener of this.#listeners) {
                listener(head, previous);
            }
        }
        catch {
            // The next answer with a newer head version starts another installation.
        }
        finally {
            this.#installation = undefined;
        }
    }

    #mergeViews(head: Head): Head {
        const nextView = head.nextView && this.#getSharedView(head.nextView);
        return { ...head, view: this.#getSharedView(head.view), ...(nextView && { nextView }) };
    }

    #getSharedView(view: MembershipView): MembershipView {
        const known = this.#findView(view.version);
        if (known === undefined) {
            this.#views.push(view);
            this.#views.splice(0, this.#views.length - MAX_KEPT_VIEWS);
        }
        return known ?? view;
    }

    #findView(version: number): MembershipView | undefined {
        return this.#views.find(view => view.version === version);
    }
}
